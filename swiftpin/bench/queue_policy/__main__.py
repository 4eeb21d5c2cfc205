"""Entry point: `python -m swiftpin.bench.queue_policy`."""

from __future__ import annotations

import argparse
from dataclasses import asdict
import sys

import orjson
import uvloop

from swiftpin.bench.machine_facts import read_machine_facts
from swiftpin.bench.queue_policy.fifo_target import run_fifo
from swiftpin.bench.queue_policy.offered_load import offered_load
from swiftpin.bench.queue_policy.policy_result import PolicyResult, judge
from swiftpin.bench.queue_policy.queue_cost import async_queue_cost
from swiftpin.bench.queue_policy.queue_target import QueueTarget


def _parse(arguments: list[str]) -> argparse.Namespace:
    """Return the options."""
    parser = argparse.ArgumentParser(
        prog="swiftpin.bench.queue_policy",
        description="Compare the queue with first come first served, in virtual time.",
    )
    loads = [0.8, 1.2, 2.0]
    parser.add_argument("--loads", type=float, nargs="+", default=loads)
    parser.add_argument("--tasks", type=int, nargs="+", default=[1, 50, 180])
    parser.add_argument("--slots", type=int, default=2)
    parser.add_argument("--length", type=int, default=200)
    parser.add_argument("--duration", type=float, default=300.0, help="virtual seconds")
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args(arguments)


async def _async_policies(options: argparse.Namespace) -> list[PolicyResult]:
    """Run all policies on the same requests."""
    results = []
    for load in options.loads:
        requests = offered_load(
            load=load,
            slots=options.slots,
            duration=options.duration,
            seed=options.seed,
        )
        for name, skip_expired in (("fifo", False), ("fifo-skip-expired", True)):
            fifo = run_fifo(
                requests,
                slots=options.slots,
                length=options.length,
                skip_expired=skip_expired,
            )
            results.append(judge(name, load, requests, fifo))
        target = QueueTarget(slots=options.slots, length=options.length)
        own = await target.async_run(requests)
        results.append(judge("swiftpin", load, requests, own))
    return results


async def _async_costs(options: argparse.Namespace) -> dict[str, float]:
    """Return microseconds a request by the number of contending tasks."""
    return {str(tasks): await async_queue_cost(tasks) for tasks in options.tasks}


def main() -> int:
    """Run and print the figures as JSON."""
    options = _parse(sys.argv[1:])
    document = {
        "machine": asdict(read_machine_facts()),
        "options": vars(options),
        "cost_us_by_tasks": uvloop.run(_async_costs(options)),
        "policies": [asdict(item) for item in uvloop.run(_async_policies(options))],
    }
    print(orjson.dumps(document, option=orjson.OPT_INDENT_2).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
