"""One run of the measurement."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random
import time
from typing import Final

from swiftpin.bench.news.bench_fleet import BenchFleet
from swiftpin.bench.news.bench_instance import BenchInstance
from swiftpin.bench.news.counting_transport import WireCounter
from swiftpin.bench.news.rest_result import RestResult
from swiftpin.bench.news.spread_result import SpreadResult
from swiftpin.bench.news.usage_count import UsageCount
from swiftpin.bench.news.way import Way
from swiftpin.helpers.event_wait import async_wait_event
from swiftpin.membership.cached_object import CachedObject
from swiftpin.membership.stamp import stamp_of
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.record_codec import encode_record
from swiftpin.ownership.slice_assignment import SliceAssignment

KIND_DECLARATION: Final = "declaration"
KIND_RECORD: Final = "record"

_DECLARATION_SIZE: Final = 800
_SLICES: Final = 1024
_REACH_LIMIT: Final = 20.0
_WARM_UP: Final = 3.0
_GAP: Final = 0.3


@dataclass(frozen=True, kw_only=True, slots=True)
class NewsResult:
    """Result of one way with one size of the fleet."""

    way: str
    instances: int
    loss: float
    rest: RestResult
    spreads: list[SpreadResult]


class NewsRun:
    """Measures one fleet at rest, then while objects change.

    A declaration is written to the store by somebody else; a record is written by
    an instance, which tells the others of it.
    """

    def __init__(
        self, *, size: int, way: Way, loss: float, seed: int, wire: WireCounter
    ) -> None:
        self._size = size
        self._way = way
        self._loss = loss
        self._wire = wire
        self._random = Random(f"run/{seed}")
        self._fleet = BenchFleet(size=size, way=way, loss=loss, seed=seed)

    async def async_run(self, rest_seconds: float, changes: int) -> NewsResult:
        """Return what was measured."""
        await self._fleet.async_setup()
        try:
            rest = await self._async_rest(rest_seconds)
            spreads = [
                await self._async_spread(kind, changes, rest)
                for kind in (KIND_DECLARATION, KIND_RECORD)
            ]
        finally:
            await self._fleet.async_unload()
        return NewsResult(
            way=self._way.name,
            instances=self._size,
            loss=self._loss,
            rest=rest,
            spreads=spreads,
        )

    async def _async_rest(self, seconds: float) -> RestResult:
        """Measure while nothing changes."""
        await asyncio.sleep(_WARM_UP)
        first = self._count()
        await asyncio.sleep(seconds)
        return RestResult.between(first, self._count(), self._size)

    async def _async_spread(
        self, kind: str, changes: int, rest: RestResult
    ) -> SpreadResult:
        """Measure several changes, one after the other."""
        first = self._count()
        times = []
        for number in range(1, changes + 1):
            times.append(await self._async_change(kind, number))
            await asyncio.sleep(self._random.uniform(0, 2 * _GAP))
        return SpreadResult.of(
            kind=kind,
            body_bytes=len(_body(kind, changes)),
            times=times,
            limit=_REACH_LIMIT,
            counts=(first, self._count()),
            rest=rest,
            size=self._size,
        )

    async def _async_change(self, kind: str, number: int) -> list[float | None]:
        """Change one object and return how long it took to each instance.

        None stands for an instance that did not know it within the limit.
        """
        name = _name(kind)
        body = _body(kind, number)
        writer = self._random.choice(self._fleet.instances)
        waits = [
            asyncio.create_task(self._async_known(instance, name, body))
            for instance in self._fleet.instances
        ]
        await asyncio.sleep(0)
        started = time.monotonic()
        version = await writer.store.async_put(name, body)
        if kind == KIND_RECORD:
            stamp = stamp_of(name, version, body)
            writer.news.publish(
                CachedObject(name=name, stamp=stamp, body=body, version=version)
            )
        known_at = await asyncio.gather(*waits)
        return [None if at is None else at - started for at in known_at]

    async def _async_known(
        self, instance: BenchInstance, name: str, body: bytes
    ) -> float | None:
        """Return when the instance knew the body, None when not within the limit."""
        known = asyncio.Event()
        known_at: float | None = None

        def check(obj: CachedObject) -> None:
            """Note the time at which the body was adopted."""
            nonlocal known_at
            if obj.body == body:
                known_at = time.monotonic()
                known.set()

        unsubscribe = instance.cache.subscribe(name, check)
        try:
            if not await async_wait_event(known, _REACH_LIMIT):
                return None
        finally:
            unsubscribe()
        return known_at

    def _count(self) -> UsageCount:
        """Return what the fleet has used so far."""
        return UsageCount.of(self._fleet, self._wire)


def _name(kind: str) -> str:
    """Return the name of the object that changes."""
    if kind == KIND_DECLARATION:
        return "config/service/desk"
    return GroupId(service="desk", group=0).store_name


def _body(kind: str, number: int) -> bytes:
    """Return the body of a version, of a size as in use."""
    if kind == KIND_DECLARATION:
        return f'{{"generation": {number}}}'.encode().ljust(_DECLARATION_SIZE)
    slices_by_id = {
        slice_id * 4: SliceAssignment(
            target=f"desk-{slice_id % 5}",
            term=2 * 65536 + number,
            standby=f"desk-{(slice_id + 1) % 5}",
        )
        for slice_id in range(_SLICES)
    }
    record = GroupRecord(
        id=GroupId(service="desk", group=0),
        term=2,
        revision=number,
        holder="i0/1",
        successor="i1/1",
        writer=f"i0/1/{number}",
        reason="moved",
        slices_by_id=slices_by_id,
        targets=frozenset(f"desk-{target}" for target in range(5)),
    )
    return encode_record(record)
