"""Entry point: `python -m swiftpin.bench.journal_cost`."""

from __future__ import annotations

import argparse
from dataclasses import asdict
from pathlib import Path
from random import Random
import sys
from tempfile import TemporaryDirectory
from typing import Final

from aiohttp import ClientSession, TCPConnector
import orjson
import uvloop

from swiftpin.bench.journal_cost.cost_point import CostPoint
from swiftpin.bench.journal_cost.cost_run import CostRun
from swiftpin.bench.journal_cost.group_commit import GroupCommit
from swiftpin.bench.journal_cost.jittered_store import JitteredStore
from swiftpin.bench.journal_cost.recording import Recording
from swiftpin.bench.journal_cost.single_writes import SingleWrites
from swiftpin.bench.machine_facts import read_machine_facts
from swiftpin.bench.processes.port_allocator import PortAllocator
from swiftpin.bench.processes.process_spec import ProcessSpec
from swiftpin.bench.processes.supervisor import Supervisor

WAY_SINGLE: Final = "single"


def _parse(arguments: list[str]) -> argparse.Namespace:
    """Return the options."""
    parser = argparse.ArgumentParser(
        prog="swiftpin.bench.journal_cost",
        description="Measure what recording costs, with and without group commit.",
    )
    rates = [10.0, 50.0, 100.0, 200.0, 400.0]
    parser.add_argument(
        "--rates", type=float, nargs="+", default=rates, help="bookings a second"
    )
    parser.add_argument(
        "--intervals", type=float, nargs="+", default=[0, 5, 20, 50], help="ms"
    )
    parser.add_argument("--latency", type=float, nargs=2, default=[3.0, 5.0], help="ms")
    parser.add_argument("--work", type=float, default=2.0, help="ms at the target")
    parser.add_argument("--duration", type=float, default=5.0, help="seconds a point")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true", help="print JSON only")
    return parser.parse_args(arguments)


def _recordings(
    store: JitteredStore, options: argparse.Namespace, rate: float
) -> dict[str, Recording]:
    """Return the ways to compare at one rate, by name."""
    recordings: dict[str, Recording] = {WAY_SINGLE: SingleWrites(store)}
    for interval in options.intervals:
        name = f"group-{interval:g}ms"
        recordings[name] = GroupCommit(store, f"{name}-{rate:g}", interval / 1000)
    return recordings


async def _async_measure(
    url: str, options: argparse.Namespace, points: list[CostPoint]
) -> None:
    """Run every way at every rate, the ways of one rate one after the other."""
    low, high = (milliseconds / 1000 for milliseconds in options.latency)
    async with ClientSession(connector=TCPConnector(limit=0)) as session:
        store = JitteredStore(session, url, low, high, Random(options.seed))
        for rate in options.rates:
            for way, recording in _recordings(store, options, rate).items():
                run = CostRun(
                    way=way,
                    recording=recording,
                    store=store,
                    rate=rate,
                    duration=options.duration,
                    work=options.work / 1000,
                    seed=options.seed,
                )
                points.append(await run.async_run())
                if not options.json:
                    _print(points[-1])


def _print(point: CostPoint) -> None:
    """Print one line of key=value pairs."""
    fields = (
        f"{name}={value:.1f}" if isinstance(value, float) else f"{name}={value}"
        for name, value in asdict(point).items()
    )
    print(" ".join(fields), flush=True)


async def _async_main(options: argparse.Namespace) -> list[CostPoint]:
    """Start a store and measure against it."""
    address = PortAllocator().allocate()
    spec = ProcessSpec(
        name="store",
        module="swiftpin.standins",
        arguments=("store", "--listen", address),
        ready_url=f"http://{address}/_standin/counters",
    )
    points: list[CostPoint] = []
    with TemporaryDirectory() as directory:
        async with Supervisor(Path(directory)) as supervisor:
            await supervisor.async_start_ready(spec)
            await _async_measure(f"http://{address}", options, points)
    return points


def main() -> int:
    """Run and print the figures."""
    options = _parse(sys.argv[1:])
    facts = read_machine_facts()
    points = uvloop.run(_async_main(options))
    if options.json:
        document = {
            "machine": asdict(facts),
            "options": vars(options),
            "points": [asdict(point) for point in points],
        }
        print(orjson.dumps(document, option=orjson.OPT_INDENT_2).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
