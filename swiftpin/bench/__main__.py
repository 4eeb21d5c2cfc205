"""Entry point of `swiftpin-bench`."""

from __future__ import annotations

import argparse
import asyncio
from pathlib import Path
import sys
from typing import Final

import orjson
import uvloop

from swiftpin.bench.arguments import COMMAND_REPORT, build_parser
from swiftpin.bench.experiment_options import ExperimentOptions
from swiftpin.bench.experiment_report import ExperimentReport
from swiftpin.bench.progress import Progress
from swiftpin.bench.registry import EXPERIMENTS_BY_NAME
from swiftpin.bench.report.page import write_page
from swiftpin.bench.runner import async_run_experiment, working_directory
from swiftpin.exceptions import SwiftpinError

EXIT_FAILED: Final = 1
EXIT_INTERRUPTED: Final = 130
JSON_OPTIONS: Final = (
    orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE | orjson.OPT_NON_STR_KEYS
)


def write_report(report: ExperimentReport, path: Path | None) -> None:
    """Write the report as JSON to the path, or to stdout."""
    document = orjson.dumps(report, option=JSON_OPTIONS)
    if path is None:
        sys.stdout.buffer.write(document)
        return
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(document)


def run_experiment(arguments: argparse.Namespace) -> int:
    """Run one experiment and return the exit code."""
    progress = Progress()
    try:
        with working_directory(arguments.keep) as directory:
            options = ExperimentOptions(
                seed=arguments.seed,
                repeats=arguments.repeats,
                quick=arguments.quick,
                directory=directory,
                only=arguments.only,
            )
            experiment = EXPERIMENTS_BY_NAME[arguments.command]
            report = uvloop.run(async_run_experiment(experiment, options, progress))
    except (KeyboardInterrupt, asyncio.CancelledError):
        return EXIT_INTERRUPTED
    except SwiftpinError as err:
        sys.stderr.write(f"swiftpin-bench: {err}\n")
        return EXIT_FAILED
    finally:
        progress.close()
    write_report(report, arguments.json)
    return 0


def main() -> int:
    """Run the command and return the exit code."""
    arguments = build_parser().parse_args()
    if arguments.command == COMMAND_REPORT:
        write_page(arguments.results, arguments.output)
        return 0
    return run_experiment(arguments)


if __name__ == "__main__":
    sys.exit(main())
