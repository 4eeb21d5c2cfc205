"""The command `python -m swiftpin.trace`: judge recorded traces."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from collections.abc import Iterable, Sequence
from pathlib import Path
import sys
from typing import Final

from swiftpin.exceptions import ConfigurationError
from swiftpin.trace.checker import check_trace
from swiftpin.trace.reader import read_traces
from swiftpin.trace.verdict import Verdict

EXIT_GOOD: Final = 0
EXIT_VIOLATION: Final = 1
EXIT_WRONG_USE: Final = 2
DEFAULT_SHOWN: Final = 10


def main(argv: Sequence[str] | None = None) -> int:
    """Judge the files, print a line for each judgement, return the exit status."""
    arguments = _parse_arguments(argv)
    try:
        events = read_traces(arguments.files)
    except (OSError, ConfigurationError) as err:
        print(f"swiftpin.trace: {err}", file=sys.stderr)
        return EXIT_WRONG_USE
    verdicts_by_judgement = check_trace(
        events, repeatable_services=frozenset(arguments.repeatable)
    )
    _print_verdicts(verdicts_by_judgement.values(), arguments.show)
    if all(verdict.is_good for verdict in verdicts_by_judgement.values()):
        return EXIT_GOOD
    return EXIT_VIOLATION


def _parse_arguments(argv: Sequence[str] | None) -> Namespace:
    """Return the arguments; ends the process with status 2 when they are wrong."""
    parser = ArgumentParser(prog="python -m swiftpin.trace", description=__doc__)
    parser.add_argument("files", type=Path, nargs="+", metavar="FILE")
    parser.add_argument(
        "--repeatable",
        action="append",
        default=[],
        metavar="SERVICE",
        help="a service whose idempotency keys may run again; may be given repeatedly",
    )
    parser.add_argument(
        "--show",
        type=int,
        default=DEFAULT_SHOWN,
        metavar="N",
        help="violations to print for each judgement (default: %(default)s)",
    )
    return parser.parse_args(argv)


def _print_verdicts(verdicts: Iterable[Verdict], shown: int) -> None:
    """Print the verdicts and the first violations of each."""
    for verdict in verdicts:
        print(_verdict_line(verdict))
        for violation in verdict.violations[:shown]:
            print(f"  violation={type(violation).__name__} {violation}")


def _verdict_line(verdict: Verdict) -> str:
    """Return one verdict; nothing to judge is told from nothing wrong."""
    word = "good" if verdict.judged else "nothing-to-judge"
    if not verdict.is_good:
        word = "violated"
    return (
        f"judgement={verdict.judgement} verdict={word} judged={verdict.judged} "
        f"violations={len(verdict.violations)}"
    )


if __name__ == "__main__":
    sys.exit(main())
