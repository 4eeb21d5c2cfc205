"""Arguments that several commands take."""

from __future__ import annotations

from argparse import ArgumentParser, ArgumentTypeError
import math
from pathlib import Path
from typing import Final

from swiftpin.cli.output_format import OutputFormat
from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.suggestion import did_you_mean

DEFAULT_WAIT: Final = 10.0
"""Seconds that `--wait` waits when no number is given."""


def kind_argument(text: str) -> ConfigKind:
    """Return the kind that an operator named, in any case of letters."""
    try:
        return ConfigKind(text.lower())
    except ValueError as err:
        words = [kind.value for kind in ConfigKind]
        raise ArgumentTypeError(
            f"{text!r} is none of {', '.join(words)}{did_you_mean(text.lower(), words)}"
        ) from err


def seconds_argument(text: str) -> float:
    """Return a time in seconds, 0 or more."""
    try:
        seconds = float(text)
    except ValueError as err:
        raise ArgumentTypeError(f"{text!r} is no number of seconds") from err
    if not math.isfinite(seconds) or seconds < 0:
        raise ArgumentTypeError(f"{text!r} is no number of seconds")
    return seconds


def add_name_arguments(parser: ArgumentParser) -> None:
    """Add the kind and name of one declaration."""
    parser.add_argument(
        "kind", type=kind_argument, help="service, profile, plannedstop"
    )
    parser.add_argument("name", help="name of the declaration")


def add_file_arguments(parser: ArgumentParser) -> None:
    """Add the files to read declarations from."""
    parser.add_argument(
        "-f",
        "--file",
        dest="files",
        metavar="FILE|DIR",
        type=Path,
        action="append",
        required=True,
        help="file or directory with declarations; may be given again",
    )


def add_output_argument(parser: ArgumentParser) -> None:
    """Add the choice of the form of output."""
    parser.add_argument(
        "-o",
        "--output",
        type=OutputFormat,
        choices=list(OutputFormat),
        default=OutputFormat.TABLE,
        help="form of the output (default: table)",
    )


def add_change_arguments(parser: ArgumentParser) -> None:
    """Add what every command that changes declarations takes."""
    parser.add_argument(
        "--dry-run", action="store_true", help="print the diff and change nothing"
    )
    parser.add_argument(
        "--wait",
        metavar="SECONDS",
        type=seconds_argument,
        nargs="?",
        const=DEFAULT_WAIT,
        help="wait until every live instance has the change in force "
        f"(default: {DEFAULT_WAIT:g} s)",
    )
