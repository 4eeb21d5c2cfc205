"""The requests of the demonstration, one scene after another."""

from __future__ import annotations

from typing import Final

import orjson

from swiftpin.bench.cluster.cluster import Cluster
from swiftpin.bench.cluster.record_reader import async_read_record, holder_name
from swiftpin.bench.demo.checks import Checks
from swiftpin.bench.demo.demo_answer import DemoAnswer
from swiftpin.bench.demo.demo_caller import DemoCaller
from swiftpin.bench.demo.demo_request import DemoRequest
from swiftpin.bench.demo.screen import Screen
from swiftpin.helpers.hashing import slice_of
from swiftpin.ownership.group_id import GroupId
from swiftpin.result import ResultCode

DESK: Final = "desk"
KEY: Final = "flight-1"
BUNDLE_SIZE: Final = 300_000
ANSWER_TIMEOUT: Final = 8.0
LOOKUP: Final = DemoRequest(method="GET", path=f"{DESK}/items", key=KEY)
BOOKING: Final = DemoRequest(
    method="POST",
    path=f"{DESK}/bookings",
    key=KEY,
    idempotency_key="order-1",
    body=b'{"item": "flight-1", "budget": 500}',
)
SECOND_BOOKING: Final = DemoRequest(
    method="POST",
    path=f"{DESK}/bookings",
    key=KEY,
    idempotency_key="order-2",
    body=b'{"item": "flight-1", "budget": 900}',
)
DOWNLOAD: Final = DemoRequest(method="GET", path=f"vault/bundle/{BUNDLE_SIZE}")


class Scenes:
    """Sends the requests, shows and judges the answers."""

    def __init__(self, cluster: Cluster, screen: Screen) -> None:
        layout = cluster.layout
        entries = {
            place.name: place.listen for place in layout.gateways_by_name.values()
        }
        self._cluster = cluster
        self._screen = screen
        self._gateways = list(entries)
        self._caller = DemoCaller(cluster.session, entries, screen)
        self.checks = Checks(screen)

    async def async_play(self) -> None:
        """Play the scenes in which nothing fails."""
        await self._async_lookups()
        await self._async_booking()
        await self._async_download()

    async def async_play_losses(self) -> None:
        """Play the scenes in which a target and a gateway are killed."""
        await self._async_lose_target()
        await self._async_lose_gateway()

    async def _async_lookups(self) -> None:
        """Ask for one key at every gateway."""
        self._screen.show("Lookups of one key at every gateway: one owner answers.")
        answers = [
            await self._caller.async_call(gateway, LOOKUP) for gateway in self._gateways
        ]
        self.checks.expect(
            "every lookup was answered by the same target",
            all(answer.is_answered for answer in answers)
            and len({answer.target for answer in answers}) == 1,
        )

    async def _async_booking(self) -> None:
        """Book once and send the booking again elsewhere."""
        self._screen.show("A booking, and the same sent again to another gateway.")
        first = await self._caller.async_call(self._gateways[0], BOOKING)
        again = await self._caller.async_call(self._gateways[1], BOOKING)
        self.checks.expect(
            "the booking ran and the resend got the recorded answer",
            first.result is ResultCode.ANSWERED
            and again.result is ResultCode.REPLAYED
            and first.body == again.body,
        )
        lookup = await self._caller.async_call(self._gateways[2], LOOKUP)
        self.checks.expect("the key has one booking", booking_count(lookup) == 1)

    async def _async_download(self) -> None:
        """Fetch a bundle from the service without keys."""
        self._screen.show("A download from the vault, which any target serves.")
        answer = await self._caller.async_call(self._gateways[0], DOWNLOAD)
        self.checks.expect(
            "the whole bundle came",
            answer.is_answered and len(answer.body) == BUNDLE_SIZE,
        )

    async def _async_lose_target(self) -> None:
        """Kill the key's owner and ask until another target owns the key."""
        owner = (await self._caller.async_call(self._gateways[0], LOOKUP)).target
        if owner is None:
            self.checks.expect("the key has an owner", False)
            return
        self._screen.show(f"Target {owner}, the key's owner, is killed.")
        self._cluster.supervisor.kill(owner)
        answer = await self._caller.async_call_until_answered(
            self._gateways, LOOKUP, ANSWER_TIMEOUT
        )
        self.checks.expect("another target answers", answer.target not in (None, owner))

    async def _async_lose_gateway(self) -> None:
        """Kill the lease holder of the key's group and book through another one."""
        gateway = await self._async_holder()
        self._screen.show(f"Gateway {gateway}, which holds the key's lease, is killed.")
        self._cluster.supervisor.kill(gateway)
        left = [name for name in self._gateways if name != gateway]
        answer = await self._caller.async_call_until_answered(
            left, LOOKUP, ANSWER_TIMEOUT
        )
        self.checks.expect("the key is served again", answer.is_answered)
        booking = await self._caller.async_call_until_answered(
            left, SECOND_BOOKING, ANSWER_TIMEOUT
        )
        self.checks.expect("a new booking runs", booking.is_answered)

    async def _async_holder(self) -> str:
        """Return the name of the gateway that holds the key's group."""
        service = next(
            item for item in self._cluster.spec.services if item.name == DESK
        )
        slice_id = slice_of(DESK, KEY, service.slices)
        group = GroupId(service=DESK, group=slice_id % service.groups)
        record = await async_read_record(
            self._cluster.session, self._cluster.layout.store_url, group
        )
        return holder_name(record)


def booking_count(answer: DemoAnswer) -> int | None:
    """Return how many bookings a lookup shows, None if it is no lookup's answer."""
    if not answer.is_answered:
        return None
    count: int | None = orjson.loads(answer.body).get("count")
    return count
