#!/usr/bin/env python3
"""Print where played days lost their worth, from their reports and logs.

Example: script/lost_worth.py whole.json small.json --logs whole.txt small.txt
"""

from __future__ import annotations

import argparse
from collections import Counter
from pathlib import Path
import sys

from swiftpin.bench.losses.loss_table import PlayedDay, format_table
from swiftpin.bench.losses.report_decoder import decode_day_report
from swiftpin.bench.losses.request_outcomes import count_outcomes
from swiftpin.helpers.json_fields import FieldError


def read_day(report: Path, log: Path | None) -> PlayedDay:
    """Read a day's files."""
    outcomes: Counter[str] = Counter()
    if log is not None:
        with log.open(errors="replace") as lines:
            outcomes = count_outcomes(lines)
    return PlayedDay(
        name=report.stem,
        report=decode_day_report(report.read_bytes()),
        requests_by_outcome=outcomes,
    )


def main() -> int:
    """Print one table of all days; return 1 if a file can't be read."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("reports", type=Path, nargs="+", help="reports as JSON")
    parser.add_argument(
        "--logs", type=Path, nargs="*", help="a log for each report, in their order"
    )
    options = parser.parse_args()
    logs = options.logs or [None] * len(options.reports)
    if len(logs) != len(options.reports):
        parser.error(f"{len(logs)} logs for {len(options.reports)} reports")
    try:
        days = [
            read_day(report, log)
            for report, log in zip(options.reports, logs, strict=True)
        ]
    except (OSError, FieldError) as err:
        print(f"lost_worth: {err}", file=sys.stderr)
        return 1
    print(format_table(days))
    return 0


if __name__ == "__main__":
    sys.exit(main())
