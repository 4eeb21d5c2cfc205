"""Plays the fleet of the rate limit tests with other sizes, limits and seeds.

Prints a line per run with the worst window of any target beside the requests allowed in
it, and the used share of the limits after they have settled.
"""

from __future__ import annotations

import argparse
import sys

from tests.fleet.virtual_time import run_in_virtual_time
from tests.router.limit_disturbances import DISTURBANCES
from tests.router.limit_fleet import WARM_UP, LimitFleet, Load

NAMED_AT = WARM_UP + 2.0
SETTLED_AT = NAMED_AT + 4.0
DISTURBANCES_BY_NAME = {it.__name__: it for it in DISTURBANCES}


def parse_arguments() -> argparse.Namespace:
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=0, help="first seed")
    parser.add_argument("--runs", type=int, default=1, help="number of seeds")
    parser.add_argument("--instances", type=int, default=8)
    parser.add_argument("--targets", type=int, default=3)
    parser.add_argument("--limit", type=float, default=1.8, help="requests per second")
    parser.add_argument("--rate", type=float, default=8.0, help="demand per target")
    parser.add_argument("--slots", type=int, default=2)
    parser.add_argument("--work", type=float, default=0.12, help="seconds per request")
    parser.add_argument("--entry-share", type=float, default=1.0)
    parser.add_argument("--unkeyed", action="store_true")
    parser.add_argument("--end", type=float, default=26.0, help="seconds")
    parser.add_argument("--disturbance", choices=DISTURBANCES_BY_NAME, default="none")
    return parser.parse_args()


def play(options: argparse.Namespace, seed: int) -> bool:
    """Play one run and print its line; return whether the limits were kept."""
    load = Load(
        rate=options.rate,
        is_keyed=not options.unkeyed,
        entry_share=options.entry_share,
        work=options.work,
        slots=options.slots,
    )
    fleet = LimitFleet(options.instances, options.targets, load, seed)

    def name_limits() -> None:
        for target in fleet.targets_by_name.values():
            fleet.name_limit(target, options.limit)

    fleet.schedule(NAMED_AT, name_limits)
    DISTURBANCES_BY_NAME[options.disturbance](fleet)
    run_in_virtual_time(fleet.async_run(options.end))
    excess, requests, allowed = max(fleet.worst_windows(), default=(0.0, 0, 0.0))
    print(
        f"{options.disturbance} seed={seed} instances={options.instances}"
        f" targets={options.targets} limit={options.limit:g} worst={requests}"
        f" allowed={allowed:.1f}"
        f" used={fleet.used_share(SETTLED_AT, options.end):.2f}"
        f" served={fleet.served_in_time}+{fleet.served_late} rejected={fleet.rejected}"
        f" authorized={fleet.max_authorized}",
        flush=True,
    )
    return excess <= 0 and fleet.max_authorized <= 1


def main() -> int:
    """Play all runs and return the exit code."""
    options = parse_arguments()
    seeds = range(options.seed, options.seed + options.runs)
    failures = sum(not play(options, seed) for seed in seeds)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
