"""A request that waits in a target's queue."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from swiftpin.dispatch.slot import Slot
from swiftpin.exceptions import NotRunError


@dataclass(eq=False, kw_only=True, slots=True)
class Waiter:
    """One waiting request.

    `latest_start` is the last moment (monotonic seconds) at which starting it
    still makes sense, `cost` its expected service time in seconds. `decided` ends
    with None once a slot was given, else with the refusal. `queued` turns False
    when the waiter leaves the lines.
    """

    slot: Slot
    sequence: int
    latest_start: float
    cost: float
    decided: asyncio.Future[NotRunError | None]
    queued: bool = True
