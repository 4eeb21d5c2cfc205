#!/usr/bin/env python3
"""Play the days of deploy/days on a deployment; one line a day, status 1 if one is red.

A file names only what goes wrong; traffic, seed and marks come from the deployment's
own first day. The journal's entries of the runs are left to be committed.
"""

from __future__ import annotations

import argparse
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
import re
import subprocess
import sys
import tempfile
import tomllib

DAYS = Path(__file__).resolve().parent.parent / "deploy" / "days"

LEAST_FLOOR = 0.1
"""Share of the credit that must be earned; the days are far harder than usual ones."""


def first_day(site: Path) -> str:
    """Return the text of the deployment's first day, without troubles and floors."""
    block = site.read_text().split("[[day]]")[1]
    kept = re.sub(r"^(plan|faults) = \[\n.*?^\]\n", "", block, flags=re.M | re.S)
    kept = re.sub(
        r"^(floor_\w+|closing|name|slot|goal|labels) = .*\n", "", kept, flags=re.M
    )
    return f'slot = "trouble"\nlabels = []\ngoal = {{ floor = {LEAST_FLOOR} }}\n{kept}'


def write_day(name: str, site: Path, folder: Path) -> Path:
    """Write one whole day and return its path."""
    troubles = (DAYS / f"{name}.toml").read_text()
    planless = "" if "plan = [" in troubles else "plan = []\n"
    faultless = "" if "faults = [" in troubles else "faults = []\n"
    text = f'name = "{name}"\n{first_day(site)}\n{planless}{faultless}{troubles}'
    tomllib.loads(text)
    path = folder / f"{name}.toml"
    path.write_text(text)
    return path


def play(bench: Path, site: Path, day: Path, why: str, logs: Path | None) -> str:
    """Play one day and return the line that tells how it went."""
    command = [bench, "run", site, day, "--why", why]
    if logs is not None:
        command += ["--log", "all"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    if logs is not None:
        (logs / f"{site.stem}.{day.stem}.txt").write_text(done.stdout + done.stderr)
    for line in done.stdout.splitlines():
        if re.match(rf"{re.escape(day.stem)}\s+\d+/\d+", line):
            return line
    return f"{day.stem} BROKEN: not played: {(done.stdout + done.stderr)[-300:]}"


def main() -> int:
    """Play the days named, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", type=Path, required=True, help="program that plays")
    parser.add_argument("--site", type=Path, required=True, help="deployment's file")
    parser.add_argument("--why", required=True, help="what the runs are to show")
    parser.add_argument("--jobs", type=int, default=2, help="days at a time")
    parser.add_argument("--logs", type=Path, help="folder for what the processes write")
    parser.add_argument("days", nargs="*", help="names without .toml; all if none")
    options = parser.parse_args()
    names = options.days or sorted(path.stem for path in DAYS.glob("*.toml"))
    red = 0
    with (
        tempfile.TemporaryDirectory() as folder,
        ThreadPoolExecutor(options.jobs) as pool,
    ):
        paths = [write_day(name, options.site, Path(folder)) for name in names]
        for line in pool.map(
            lambda path: play(
                options.bench, options.site, path, options.why, options.logs
            ),
            paths,
        ):
            red += "BROKEN" in line
            print(line, flush=True)
    print(f"{len(names)} days on {options.site.stem}, {red} red")
    return 1 if red else 0


if __name__ == "__main__":
    sys.exit(main())
