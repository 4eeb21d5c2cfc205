"""Command line of `swiftpin-bench`."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import Final

from swiftpin.bench.registry import EXPERIMENTS_BY_NAME

DEFAULT_SEED: Final = 1
COMMAND_REPORT: Final = "report"


def build_parser() -> argparse.ArgumentParser:
    """Return the parser."""
    parser = argparse.ArgumentParser(
        prog="swiftpin-bench",
        description="Load and fault experiments with real processes on loopback.",
    )
    commands = parser.add_subparsers(dest="command", required=True)
    for experiment in EXPERIMENTS_BY_NAME.values():
        _add_experiment(commands.add_parser(experiment.name, help=experiment.summary))
    report = commands.add_parser(
        COMMAND_REPORT, help="write an HTML page with plots out of JSON results"
    )
    report.add_argument("results", nargs="+", type=Path, help="JSON results")
    report.add_argument(
        "--output", type=Path, default=Path("bench.html"), help="page to write"
    )
    return parser


def _add_experiment(parser: argparse.ArgumentParser) -> None:
    """Add the options of one experiment."""
    parser.add_argument(
        "--json", type=Path, metavar="FILE", help="write the result there, else stdout"
    )
    parser.add_argument(
        "--seed", type=int, default=DEFAULT_SEED, help="seed of load and choices"
    )
    parser.add_argument(
        "--repeats",
        "--seeds",
        type=int,
        help="how often to measure, or with how many seeds (experiment's default)",
    )
    parser.add_argument(
        "--quick", action="store_true", help="about a minute; figures only indicate"
    )
    parser.add_argument(
        "--only", default="", metavar="TEXT", help="only parts with it in their name"
    )
    parser.add_argument(
        "--keep", type=Path, metavar="DIR", help="keep logs and traces there"
    )
