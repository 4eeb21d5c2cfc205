"""Tests of the checker's command."""

from __future__ import annotations

from pathlib import Path

import pytest

from swiftpin.trace.__main__ import main
from swiftpin.trace.judgement import Judgement

TRACES = Path(__file__).parent.parent / "traces"


def test_good_trace_ends_with_status_0(capsys: pytest.CaptureFixture[str]) -> None:
    """Each judgement has its line."""
    assert main([str(TRACES / "good_move.jsonl")]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert len(lines) == len(Judgement)
    assert all("verdict=good" in line for line in lines)


def test_violation_ends_with_status_1(capsys: pytest.CaptureFixture[str]) -> None:
    """The violation is printed under its judgement."""
    assert main([str(TRACES / "bad_two_owners.jsonl")]) == 1
    output = capsys.readouterr().out
    assert "judgement=single_owner verdict=violated judged=3 violations=1" in output
    assert "violation=TwoOwners service=desk slice=7" in output
    assert "judgement=not_run verdict=nothing-to-judge" in output


def test_traces_of_several_files_are_judged_together() -> None:
    """Each process writes a file of its own."""
    names = ("bad_no_but_done", "good_move")
    assert main([str(TRACES / f"{name}.jsonl") for name in names]) == 1


def test_missing_file_ends_with_status_2(tmp_path: Path) -> None:
    """Nothing was judged, so nothing is good."""
    assert main([str(tmp_path / "absent.jsonl")]) == 2


def test_malformed_line_ends_with_status_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """The message names file and line."""
    path = tmp_path / "t.jsonl"
    path.write_text('{"kind":"killed","name":"t1","at":1}\n{"kind":"odd"}\n')
    assert main([str(path)]) == 2
    assert f"{path}:2" in capsys.readouterr().err


def test_no_file_is_wrong_use() -> None:
    """The command needs a trace."""
    with pytest.raises(SystemExit) as raised:
        main([])
    assert raised.value.code == 2
