"""Tests of `script/lost_worth.py`."""

from __future__ import annotations

from collections.abc import Callable
import importlib.util
from pathlib import Path
import sys

import orjson
import pytest

from tests.bench.losses.reports import make_report

Run = Callable[..., int]

SCRIPT = Path(__file__).parents[2] / "script" / "lost_worth.py"


@pytest.fixture(name="run")
def run_fixture(monkeypatch: pytest.MonkeyPatch) -> Run:
    """Return a function that runs the script with arguments."""
    spec = importlib.util.spec_from_file_location("lost_worth", SCRIPT)
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)

    def run(*arguments: object) -> int:
        monkeypatch.setattr(sys, "argv", ["lost_worth", *map(str, arguments)])
        return int(module.main())

    return run


def test_table_of_a_report_and_its_log(
    run: Run, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """The day bears the name of its file."""
    report, log = tmp_path / "calm.json", tmp_path / "calm.txt"
    report.write_bytes(orjson.dumps(make_report()))
    log.write_text("x event=request outcome=served\n")
    assert run(report, "--logs", log) == 0
    assert "calm" in capsys.readouterr().out


def test_file_that_is_no_report_is_told(
    run: Run, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """No traceback for a wrong file."""
    report = tmp_path / "calm.json"
    report.write_text("{}")
    assert run(report) == 1
    assert "missing" in capsys.readouterr().err
