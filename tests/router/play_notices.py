"""Plays a fleet whose targets state that they leave or ask for back-off periods.

Prints a line per run: back-off periods asked for, those with more than two requests
after their first half second, the most in one and all; targets that announced a drain,
requests sent to them after the drain time that followed an answer passed on by the same
instance, and the latest; the share of requests served in time and at all before, during
and after; rejected requests that ran, and requests that must not run twice and did.
"""

from __future__ import annotations

import argparse
import asyncio
import math
from random import Random
import sys

import pytest

from tests.router.cut_links import CutKind
from tests.router.cut_site import CutOptions
from tests.router.notice_site import NoticeSite
from tests.router.notice_target import Load, NoticeTarget

MAX_REQUESTS_IN_BACKOFF = 2
STORE_STATES = ("there", "silent", "stale")
DISTURBANCES = ("none", "cut", "restart-instances", "lose-holder", "restart-targets")
SETTLE_TIME = 4.0


def parse_arguments() -> argparse.Namespace:
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=0, help="first seed")
    parser.add_argument("--runs", type=int, default=1, help="number of seeds")
    parser.add_argument("--instances", type=int, default=8)
    parser.add_argument("--targets", type=int, default=12)
    parser.add_argument("--unkeyed", type=int, default=3, help="targets without keys")
    parser.add_argument("--rate", type=float, default=100.0, help="requests per second")
    parser.add_argument("--work", type=float, default=0.06, help="seconds a request")
    parser.add_argument("--leave", type=float, default=0.0, help="share that leaves")
    parser.add_argument("--reject", type=float, default=0.0, help="share that rejects")
    parser.add_argument(
        "--reject-share", type=float, default=1.0, help="requests that these reject"
    )
    parser.add_argument("--retry-after", type=float, default=3.0)
    parser.add_argument("--spoilt", type=int, default=0, help="spoilt answers a target")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--store", choices=STORE_STATES, default="there")
    parser.add_argument("--disturbance", choices=DISTURBANCES, default="none")
    return parser.parse_args()


async def async_play(options: argparse.Namespace, seed: int) -> bool:
    """Play one run and print its line; return whether nothing was broken."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        site = NoticeSite(
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
    site: NoticeSite, options: argparse.Namespace, seed: int
) -> bool:
    """Play one run with a site."""
    loop = asyncio.get_running_loop()
    await site.async_setup_fleet()
    for number in range(2, options.unkeyed):
        await site.async_add_target(f"v{number}", "vault")
    for target in site.targets:
        target.work = options.work
    began_at = loop.time()
    await site.async_play(SETTLE_TIME)
    stated_at = loop.time()
    chosen = _start_statements(site, options, seed)
    disturbance = asyncio.create_task(_async_disturb(site, options, chosen))
    await site.async_play(options.seconds)
    ended_at = loop.time()
    await disturbance
    await _async_end_statements(site, chosen)
    recovered_at = loop.time() + SETTLE_TIME
    await site.async_play(2 * SETTLE_TIME)
    await site.async_settle()
    return _report(site, options, seed, (began_at, stated_at, ended_at, recovered_at))


def _start_statements(
    site: NoticeSite, options: argparse.Namespace, seed: int
) -> list[NoticeTarget]:
    """Let targets leave and reject; return those that leave."""
    targets = sorted(site.targets, key=lambda target: target.name)
    # The callers' draws depend on what was served, so the choice has draws of its own.
    Random(seed).shuffle(targets)
    rejecting = targets[: math.ceil(options.reject * len(targets))]
    leaving = targets[len(targets) - math.ceil(options.leave * len(targets)) :]
    until = asyncio.get_running_loop().time() + options.seconds
    for target in rejecting:
        target.load = Load(
            reject_share=options.reject_share,
            retry_after=options.retry_after,
            until=until,
        )
    for target in targets:
        target.spoilt_answers = options.spoilt
    for target in leaving:
        target.is_leaving = True
        if options.store == "there":
            _write_entry(site, target, "draining")
    site.store.is_silent = options.store == "silent"
    return leaving


async def _async_disturb(
    site: NoticeSite, options: argparse.Namespace, leaving: list[NoticeTarget]
) -> None:
    """Disturb the fleet while targets make their statements."""
    await asyncio.sleep(1.0)
    if options.store == "stale":
        for target in leaving:
            _write_entry(site, target, "ready")
    match options.disturbance:
        case "cut":
            names = site.choose_instances(0.33, with_holder=None)
            for name in names:
                site.cuts.cut(name, CutKind.RESET)
            await asyncio.sleep(options.seconds / 2)
            for name in names:
                site.cuts.heal(name)
        case "restart-instances":
            for name in site.choose_instances(0.33, with_holder=False):
                await site.async_remove_router(name)
                await site.async_add_router(name)
        case "lose-holder":
            await site.async_remove_router(site.leader())
        case "restart-targets":
            for number, target in enumerate(leaving):
                target.is_leaving = False
                await target.async_restart(born=1000 + number)
                _write_entry(site, target, "ready")


async def _async_end_statements(site: NoticeSite, leaving: list[NoticeTarget]) -> None:
    """Let the store answer, targets accept requests and those that leave end."""
    site.store.is_silent = False
    for target in site.targets:
        target.load = Load()
    for target in leaving:
        if target.is_leaving:
            _write_entry(site, target, "draining")
    await site.async_play(3.0)
    for target in leaving:
        if target.is_leaving:
            site.store.remove("servers", target.name)
            await target.async_unload()


def _write_entry(site: NoticeSite, target: NoticeTarget, state: str) -> None:
    """Write a target's entry to the store."""
    service = "desk" if target.is_keyed else "vault"
    site.store.put("servers", target.name, target.entry(service, state=state))


def _report(
    site: NoticeSite,
    options: argparse.Namespace,
    seed: int,
    times: tuple[float, float, float, float],
) -> bool:
    """Print the line of a run; return whether nothing was broken."""
    began_at, stated_at, ended_at, recovered_at = times
    requests = [backoff.requests for backoff in site.backoffs()]
    broken = sum(count > MAX_REQUESTS_IN_BACKOFF for count in requests)
    late = site.late_sends()
    latest = max((send.seconds for send in late), default=0.0)
    untrue, repeated = len(site.untrue_rejections()), len(site.repeated_once_only())
    spans = {
        "before": (began_at, stated_at),
        "during": (stated_at, ended_at),
        "after": (recovered_at, recovered_at + SETTLE_TIME),
    }
    served = " ".join(
        f"{name}={site.served_in_time(*span):.3f}/{site.served(*span):.3f}"
        for name, span in spans.items()
    )
    print(
        f"seed={seed} instances={options.instances} store={options.store}"
        f" leave={options.leave:g} reject={options.reject:g}x{options.reject_share:g}"
        f" retry_after={options.retry_after:g} disturbance={options.disturbance}"
        f" backoffs={len(requests)} broken={broken} worst={max(requests, default=0)}"
        f" within={sum(requests)} drains={site.announced_drains()}"
        f" late={len(late)} latest={latest:.2f} {served}"
        f" attempts={site.attempts_per_request(stated_at, ended_at):.2f}"
        f" untrue={untrue} repeated={repeated}",
        flush=True,
    )
    return not (broken or late or untrue or repeated)


def main() -> int:
    """Play all runs and return the exit code."""
    options = parse_arguments()
    seeds = range(options.seed, options.seed + options.runs)
    failures = sum(not asyncio.run(async_play(options, seed)) for seed in seeds)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
