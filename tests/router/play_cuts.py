"""Plays a fleet whose instances are cut off from the targets.

Prints a line per run: the share of first attempts served before the cut, and from 3 s
after its start at the instances that are cut off and at the others, then after its end;
the seconds until the first request was served round the cut; sends per request; and the
highest share of the relayed requests that one instance passed on.
"""

from __future__ import annotations

import argparse
import asyncio
import sys

import pytest

from tests.router.cut_links import CutKind
from tests.router.cut_site import CutOptions, CutSite

STABILITY_PERIOD = 3.0
RECOVERY_TIME = 5.0
MIN_SHARE_OF_OTHERS = 2 / 3


def parse_arguments() -> argparse.Namespace:
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=0, help="first seed")
    parser.add_argument("--runs", type=int, default=1, help="number of seeds")
    parser.add_argument("--instances", type=int, default=8)
    parser.add_argument("--targets", type=int, default=8)
    parser.add_argument("--rate", type=float, default=80.0, help="requests per second")
    parser.add_argument("--share", type=float, default=0.33, help="instances cut off")
    parser.add_argument("--targets-share", type=float, default=1.0)
    parser.add_argument("--kind", choices=[it.value for it in CutKind], default="hang")
    parser.add_argument("--seconds", type=float, default=8.0, help="length of a cut")
    parser.add_argument("--cuts", type=int, default=1, help="cuts in series")
    parser.add_argument("--holder", choices=["any", "in", "out"], default="any")
    return parser.parse_args()


async def async_play(options: argparse.Namespace, seed: int) -> bool:
    """Play one run and print its line; return whether callers were served."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        site = CutSite(
            monkeypatch,
            CutOptions(
                instances=options.instances,
                targets=options.targets,
                rate=options.rate,
                seed=seed,
            ),
        )
        try:
            return await _async_play_site(site, options, seed)
        finally:
            await site.async_unload()


async def _async_play_site(
    site: CutSite, options: argparse.Namespace, seed: int
) -> bool:
    """Play one run with a site."""
    loop = asyncio.get_running_loop()
    await site.async_setup_fleet()
    began_at = loop.time()
    await site.async_play(4.0)
    with_holder = {"any": None, "in": True, "out": False}[options.holder]
    for _ in range(options.cuts):
        cut = await site.async_cut(
            options.share,
            CutKind(options.kind),
            options.seconds,
            with_holder=with_holder,
            targets_share=options.targets_share,
        )
        await site.async_play(1.0)
    await site.async_play(RECOVERY_TIME - 1.0)
    recovered_at = loop.time()
    await site.async_play(4.0)
    await site.async_settle()
    start = cut.began_at + STABILITY_PERIOD
    at_cut = site.served_share(start, cut.ended_at, cut.instances)
    at_others = site.served_share(start, cut.ended_at, site.others(cut))
    relayed = [
        router._relay_handler.relayed for router in site.routers_by_name.values()
    ]
    runs = sum(len(target.runs) for target in site.targets_by_name.values())
    violations = len(site.repeated_once_only()) + len(site.untrue_rejections())
    print(
        f"seed={seed} instances={options.instances} kind={options.kind}"
        f" share={options.share:g} holder={options.holder}"
        f" before={site.served_share(began_at, site.cut_periods[0].began_at):.2f}"
        f" cut={at_cut:.2f} others={at_others:.2f}"
        f" after={site.served_share(recovered_at, recovered_at + 4.0):.2f}"
        f" first_served={site.first_served_after(cut):.2f}"
        f" runs_per_request={runs / len(site.attempts):.2f}"
        f" relayed={sum(relayed)} most_at_one={max(relayed) / max(sum(relayed), 1):.2f}"
        f" violations={violations}",
        flush=True,
    )
    return at_cut >= MIN_SHARE_OF_OTHERS * at_others and not violations


def main() -> int:
    """Play all runs and return the exit code."""
    options = parse_arguments()
    seeds = range(options.seed, options.seed + options.runs)
    failures = sum(not asyncio.run(async_play(options, seed)) for seed in seeds)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
