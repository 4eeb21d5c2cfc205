"""Tests of a router process beside clients that don't keep to the protocol."""

from __future__ import annotations

from typing import Final

import pytest

from tests.router.misbehaving_callers import KINDS_BY_NAME
from tests.router.misbehaving_play import (
    DESCRIPTORS,
    MEMORY_MB,
    Crowd,
    CrowdResult,
    MisbehavingPlay,
    Port,
)
from tests.router.slow_reader_play import MEGABYTE

PRESSING: Final = 40
"""Clients that send as fast as they can."""

CROWDING: Final = 800
"""Clients that send as fast as they can, far more than the process can serve."""

STANDING: Final = 3000
"""Clients that send at most the beginning of a request, and stay."""

CONNECTING: Final = 5000
"""Clients that connect to a listener which is not for callers, and stay."""

PRESSING_KINDS: Final = [
    name
    for name, kind in KINDS_BY_NAME.items()
    if kind.repeated and name not in {"unread-status", "frame"}
]
STANDING_KINDS: Final = [
    name for name, kind in KINDS_BY_NAME.items() if not kind.repeated
]
OTHER_CROWDS: Final = [
    Crowd(kind="header", clients=PRESSING, port=Port.READINESS),
    Crowd(kind="after-upgrade", clients=PRESSING, port=Port.READINESS),
    Crowd(kind="unread-status", clients=PRESSING, port=Port.READINESS),
    Crowd(kind="silent", clients=CONNECTING, port=Port.READINESS),
    Crowd(kind="header", clients=PRESSING, port=Port.RELAYS),
    Crowd(kind="one-byte-chunks", clients=PRESSING, port=Port.RELAYS),
    Crowd(kind="silent", clients=CONNECTING, port=Port.RELAYS),
    Crowd(kind="header", clients=PRESSING, port=Port.METRICS),
    Crowd(kind="unread-status", clients=PRESSING, port=Port.METRICS),
    Crowd(kind="silent", clients=CONNECTING, port=Port.METRICS),
    Crowd(kind="frame", clients=PRESSING, port=Port.LINKS),
    Crowd(kind="silent", clients=CONNECTING, port=Port.LINKS),
]


def check(observed: CrowdResult) -> None:
    """Check that the process lives within its limits and serves afterwards."""
    print(observed)
    assert not observed.has_exited
    assert observed.peak_resident < MEMORY_MB * MEGABYTE
    assert observed.peak_descriptors < DESCRIPTORS
    assert observed.is_served_after
    assert observed.stops_when_told


@pytest.mark.parametrize("kind", PRESSING_KINDS)
async def test_bytes_of_callers_are_bounded(kind: str) -> None:
    """Guards against callers whose bytes fill the memory or keep the process busy."""
    check(await MisbehavingPlay(Crowd(kind=kind, clients=PRESSING)).async_observe())


@pytest.mark.parametrize(
    "kind", ["pipelined", "unread-answers", "one-byte-chunks", "body-over-limit"]
)
async def test_large_crowds_leave_time_for_others(kind: str) -> None:
    """Guards against callers that keep the process busy with what they send."""
    crowd = Crowd(kind=kind, clients=CROWDING, seconds=8.0)
    observed = await MisbehavingPlay(crowd).async_observe()
    check(observed)
    assert observed.is_served_beside


@pytest.mark.parametrize("kind", STANDING_KINDS)
async def test_standing_callers_leave_room_for_others(kind: str) -> None:
    """Guards against callers that take all connections and send no request."""
    crowd = Crowd(kind=kind, clients=STANDING)
    observed = await MisbehavingPlay(crowd).async_observe()
    check(observed)
    assert observed.is_served_beside


@pytest.mark.parametrize(
    "crowd", OTHER_CROWDS, ids=lambda crowd: f"{crowd.port}-{crowd.kind}"
)
async def test_other_listeners_are_bounded_too(crowd: Crowd) -> None:
    """Guards against clients of the other listeners that fill memory or descriptors."""
    check(await MisbehavingPlay(crowd).async_observe())


@pytest.mark.parametrize(
    "kind", ["one-byte-chunks", "after-refusal", "unread-answers", "silent"]
)
async def test_process_stops_beside_a_crowd(kind: str) -> None:
    """Guards against a process that is told to stop and is kept by its clients."""
    clients = PRESSING if KINDS_BY_NAME[kind].repeated else STANDING
    crowd = Crowd(kind=kind, clients=clients, seconds=1.0)
    assert await MisbehavingPlay(crowd).async_stop_beside()
