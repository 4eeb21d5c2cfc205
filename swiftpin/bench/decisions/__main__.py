"""Entry point: `python -m swiftpin.bench.decisions`.

Plays loads on many seeds and prints what callers got. To weigh a change, play the code
before it with `--json` and the code after it with `--against`: the same seeds bring the
same requests, so the differences are paired.
"""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, fields
from itertools import repeat
import json
from pathlib import Path
from statistics import mean, pstdev
import sys
from typing import Final

from swiftpin.bench.decisions.outcome import Summary
from swiftpin.bench.decisions.play import play
from swiftpin.bench.decisions.scenarios import SCENARIOS_BY_NAME

FIELDS: Final = tuple(field.name for field in fields(Summary))
Rows = dict[str, list[dict[str, float]]]


def parse(arguments: list[str] | None) -> argparse.Namespace:
    """Return the options."""
    parser = argparse.ArgumentParser(prog="python -m swiftpin.bench.decisions")
    parser.add_argument("scenarios", nargs="*", help="all without one")
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--jobs", type=int, default=1, help="processes to use")
    parser.add_argument("--json", type=Path, help="write what each seed gave")
    parser.add_argument("--against", type=Path, help="such a file of other code")
    return parser.parse_args(arguments)


def play_seed(name: str, seed: int) -> dict[str, float]:
    """Return what one seed gave."""
    return asdict(play(SCENARIOS_BY_NAME[name], seed))


def play_all(name: str, seeds: int, jobs: int) -> list[dict[str, float]]:
    """Return what each seed of a load gave."""
    with ProcessPoolExecutor(jobs) as pool:
        return list(pool.map(play_seed, repeat(name), range(seeds)))


def line(name: str, values: list[list[float]]) -> str:
    """Return means and, in brackets, standard deviations of some columns."""
    cells = [f"{mean(column):9.4f} ({pstdev(column):.4f})" for column in values]
    return f"{name:20}{''.join(cells)}"


def columns(rows: list[dict[str, float]]) -> list[list[float]]:
    """Return the values of each field."""
    return [[row[name] for row in rows] for name in FIELDS]


def main(arguments: list[str] | None = None) -> int:
    """Play and print."""
    options = parse(arguments)
    before: Rows = json.loads(options.against.read_text()) if options.against else {}
    played: Rows = {}
    sys.stdout.write(f"{'':20}{''.join(f'{name:>18}' for name in FIELDS)}\n")
    for name in options.scenarios or SCENARIOS_BY_NAME:
        played[name] = play_all(name, options.seeds, options.jobs)
        sys.stdout.write(f"{line(name, columns(played[name]))}\n")
        if name not in before:
            continue
        pairs = zip(columns(played[name]), columns(before[name]), strict=True)
        changes = [
            [new - old for new, old in zip(*pair, strict=True)] for pair in pairs
        ]
        sys.stdout.write(f"{line('  change', changes)}\n")
    if options.json:
        options.json.write_text(json.dumps(played))
    return 0


if __name__ == "__main__":
    sys.exit(main())
