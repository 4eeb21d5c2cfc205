"""Tests of the list of known red tests that CI passes over."""

from __future__ import annotations

from importlib.util import module_from_spec, spec_from_file_location
from pathlib import Path
from types import ModuleType

import pytest

SCRIPT = Path(__file__).parents[2] / "script" / "known_red.py"
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
    ],
)
def test_wrong_line_is_refused(known_red: ModuleType, line: str) -> None:
    """A line without cause and issue, or that names no one test, fails CI."""
    write(known_red, line)
    assert known_red.main() == 1


def test_long_list_is_refused(known_red: ModuleType) -> None:
    """More than three known red tests fail CI."""
    write(known_red, *[f"{GOOD}; seed 3; seen; #1"] * 4)
    assert known_red.main() == 1
