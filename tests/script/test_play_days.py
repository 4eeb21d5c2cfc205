"""Tests of the days that `script/play_days.py` plays."""

from __future__ import annotations

import importlib.util
from pathlib import Path
import tomllib

import pytest

ROOT = Path(__file__).parents[2]
DAYS = sorted((ROOT / "deploy" / "days").glob("*.toml"))
SITE = """
[[day]]
name = "calm"
slot = "quiet"
seed = 1
goal = { floor = 0.5 }
floor_classes = [0.4]
plan = [
  { at = 1.0, kind = "hup" },
]
faults = [
  { at = 2.0, kind = "burst", x = 2.0 },
]
traffic = [
  { zone = "a", per_s = 10.0 },
]

[[day]]
name = "other"
"""


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
def test_day_joins_the_deployment_and_its_own_troubles(
    path: Path, tmp_path: Path
) -> None:
    """Traffic comes from the deployment, troubles from the day alone."""
    spec = importlib.util.spec_from_file_location(
        "play_days", ROOT / "script" / "play_days.py"
    )
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    site = tmp_path / "site.toml"
    site.write_text(SITE)
    day = tomllib.loads(module.write_day(path.stem, site, tmp_path).read_text())
    assert day["name"] == path.stem
    assert day["seed"] == 1
    assert [part["zone"] for part in day["traffic"]] == ["a"]
    troubles = day["plan"] + day["faults"]
    assert troubles
    assert all({"at", "kind"} <= trouble.keys() for trouble in troubles)
    assert {"at": 1.0, "kind": "hup"} not in troubles
