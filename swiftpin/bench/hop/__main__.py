"""Entry point: `python -m swiftpin.bench.hop`."""

from __future__ import annotations

import argparse
from dataclasses import asdict
from pathlib import Path
from statistics import median
import sys
from tempfile import TemporaryDirectory

import orjson
import uvloop

from swiftpin.bench.hop.hop_case import CASES
from swiftpin.bench.hop.hop_point import HopPoint
from swiftpin.bench.hop.hop_run import HopRun
from swiftpin.bench.hop.hop_way import HopWay
from swiftpin.bench.machine_facts import read_machine_facts
from swiftpin.bench.progress import Progress


def _parse(arguments: list[str]) -> argparse.Namespace:
    """Return the options."""
    parser = argparse.ArgumentParser(
        prog="swiftpin.bench.hop",
        description="Measure forwarding between two processes, by HTTP and by gRPC.",
    )
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=4.0, help="a measurement")
    parser.add_argument("--json", action="store_true", help="print JSON only")
    return parser.parse_args(arguments)


def _print(points: list[HopPoint]) -> None:
    """Print the medians over the repeats, one line for each case and way."""
    for case in CASES:
        for way in HopWay:
            own = [item for item in points if (item.case, item.way) == (case.name, way)]
            print(
                f"case={case.name} way={way}"
                f" failed={sum(item.failed for item in own)}"
                f" p50_ms={median(item.p50_ms for item in own):.2f}"
                f" p99_ms={median(item.p99_ms for item in own):.2f}"
                f" entry_cpu_ms={median(item.entry_cpu_ms for item in own):.3f}"
                f" holder_cpu_ms={median(item.holder_cpu_ms for item in own):.3f}"
            )


async def async_main(options: argparse.Namespace) -> list[HopPoint]:
    """Run the comparison in a directory of its own."""
    with TemporaryDirectory(prefix="swiftpin-hop-") as directory:
        run = HopRun(
            Path(directory),
            Progress(),
            repeats=options.repeats,
            seconds=options.seconds,
        )
        return await run.async_run()


def main() -> int:
    """Run and print the figures."""
    options = _parse(sys.argv[1:])
    facts = read_machine_facts()
    points = uvloop.run(async_main(options))
    if not options.json:
        _print(points)
        return 0
    document = {
        "machine": asdict(facts),
        "options": vars(options),
        "points": [asdict(point) for point in points],
    }
    print(orjson.dumps(document, option=orjson.OPT_INDENT_2).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
