"""Tests of the list of known red tests that CI passes over."""

from __future__ import annotations

from importlib.util import module_from_spec, spec_from_file_location
from pathlib import Path
from types import ModuleType

import pytest

SCRIPT = Path(__file__).parents[2] / "script" / "known_red.py"
SH = "review/2/run.sh"
GOOD = "tests/bench/load/test_verdict.py::test_half_an_answer_is_none"


@pytest.fixture
def known_red(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> ModuleType:
    """Return the script's module, reading a list in a directory of the test."""
    spec = spec_from_file_location("known_red", SCRIPT)
    assert spec is not None
    assert spec.loader is not None
    module = module_from_spec(spec)
    spec.loader.exec_module(module)
    monkeypatch.setattr(module, "LIST", tmp_path / "KNOWN-RED.txt")
    return module


def write(known_red: ModuleType, *lines: str) -> None:
    """Write the list."""
    known_red.LIST.write_text("\n".join(lines))


def test_no_list_passes_over_nothing(
    known_red: ModuleType, capsys: pytest.CaptureFixture[str]
) -> None:
    """Without a list every test counts."""
    assert known_red.main() == 0
    assert capsys.readouterr().out == ""


def test_listed_test_is_printed(
    known_red: ModuleType, capsys: pytest.CaptureFixture[str]
) -> None:
    """The id goes to CI, the whole line into its log."""
    write(known_red, f"{GOOD}; pytest, seed 3; what was seen, with a comma; #12")
    assert known_red.main() == 0
    printed = capsys.readouterr()
    assert printed.out == f"{GOOD}\n"
    assert "what was seen, with a comma; #12" in printed.err


@pytest.mark.parametrize(
    "line",
    [
        GOOD,
        f"{GOOD}; seed 3; what was seen",
        f"{GOOD}; ; what was seen; #1",
        f"{GOOD}, seed 3, what was seen, #1",
        "tests/bench/load/test_verdict.py; seed 3; a whole file; #1",
        f"{GOOD}_absent; seed 3; no such test; #1",
        f"{GOOD} (issue 1: {SH}, seed 3; a second entry in a line; #1)",
        "review/9/run.sh; no seed; no such script; #1",
        "review/2; no seed; a whole folder; #1",
        "review/2/claim.txt; no seed; not a script; #1",
        "../main/review/2/run.sh/../../../..; no seed; outside; #1",
        f"{SH}; no seed; no issue",
    ],
)
def test_wrong_line_is_refused(known_red: ModuleType, line: str) -> None:
    """A line without cause and issue, or that names no one test, fails CI."""
    write(known_red, line)
    assert known_red.main() == 1


def test_listed_script_is_logged_but_not_passed_over(
    known_red: ModuleType, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against an entry that hides a script, or a test behind a script."""
    write(known_red, f"{SH}; no seed; seen; #1", f"{GOOD}; seed 3; seen; #2")
    assert known_red.main() == 0
    printed = capsys.readouterr()
    assert printed.out == f"{GOOD}\n"
    assert f"{SH}; no seed; seen; #1" in printed.err


def test_test_that_is_listed_twice_is_refused(known_red: ModuleType) -> None:
    """Guards against entries that are renewed by a copy and never removed."""
    write(known_red, *[f"{GOOD}; seed 3; seen; #1"] * 2)
    assert known_red.main() == 1


def test_long_list_is_refused(known_red: ModuleType) -> None:
    """More known red tests than the limit fail CI before any is looked at."""
    lines = [f"{GOOD}; seed {seed}; seen; #1" for seed in range(known_red.MAX_LINES)]
    write(known_red, *lines, f"{SH}; no seed; seen; #1")
    assert known_red.main() == 1
