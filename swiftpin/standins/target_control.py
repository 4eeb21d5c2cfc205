"""Control interface of a stand-in target."""

from __future__ import annotations

from typing import Final

from aiohttp.web import BaseRequest, Response
from pydantic import TypeAdapter, ValidationError

from swiftpin.core import callback, monotonic_now
from swiftpin.ownership.group_id import GroupId
from swiftpin.standins.fence import Fence
from swiftpin.standins.fence_message import FenceMessage
from swiftpin.standins.grants_message import GrantsMessage
from swiftpin.standins.group_grants import GroupGrants
from swiftpin.standins.http_standin import json_response
from swiftpin.standins.target_boot import TargetBoot
from swiftpin.trace.slice_term import SliceTerm

PATH_FENCE: Final = "/_target/fence"
PATH_GRANTS: Final = "/_target/grants"

_FENCE_ADAPTER: Final = TypeAdapter(FenceMessage)
_GRANTS_ADAPTER: Final = TypeAdapter(GrantsMessage)


class TargetControl:
    """Fences and grants; an unchecked target takes them and ignores them."""

    def __init__(self, boot: TargetBoot, *, unchecked: bool) -> None:
        self._boot = boot
        self._unchecked = unchecked

    async def async_call(self, request: BaseRequest) -> Response:
        """Carry out one control call."""
        body = await request.read()
        try:
            match request.method, request.path:
                case "POST", path if path == PATH_FENCE:
                    return self._fence(_FENCE_ADAPTER.validate_json(body))
                case "POST", path if path == PATH_GRANTS:
                    return await self._async_grants(_GRANTS_ADAPTER.validate_json(body))
        except ValidationError as err:
            return json_response({"error": str(err)}, 400)
        return json_response({"error": "no such call"}, 404)

    @callback
    def _fence(self, message: FenceMessage) -> Response:
        """Follow a holder from now on and report the slices held."""
        now = monotonic_now()
        group = self._group(message.service, message.group)
        group.lapse(now)
        fence = Fence(term=message.term, holder=message.holder)
        if not self._unchecked and not group.raise_fence(fence):
            return self._refuse(group, now)
        slices = [
            (grant.slice_id, grant.slice_term, grant.expires_at)
            for grant in group.grants()
        ]
        return json_response(
            {"boot_id": self._boot.identity.boot_id, "clock": now, "slices": slices}
        )

    async def _async_grants(self, message: GrantsMessage) -> Response:
        """Extend, grant and revoke slices of a group."""
        if self._unchecked:
            return self._grants_answer(0, [], monotonic_now())
        now = monotonic_now()
        group = self._group(message.service, message.group)
        group.lapse(now)
        if not self._is_addressed(message, group):
            return self._refuse(group, now)
        group.extend(message.expires_at)
        granted = [SliceTerm(slice_id, term) for slice_id, term in message.grant]
        group.grant(granted, message.expires_at, now)
        group.revoke(message.revoke, now)
        if message.revoke_wait > 0:
            wait = message.revoke_wait / 1000
            await group.async_wait_released(message.revoke, wait)
        now = monotonic_now()
        group.lapse(now)
        return self._grants_answer(group.held, group.still_held(message.revoke), now)

    def _is_addressed(self, message: GrantsMessage, group: GroupGrants) -> bool:
        """Return whether the message is for this boot and from the holder fenced."""
        fence = Fence(term=message.term, holder=message.holder)
        boot_id = self._boot.identity.boot_id
        return message.boot_id == boot_id and group.fence == fence

    def _group(self, service: str, group: int) -> GroupGrants:
        """Return the grants of a group."""
        return self._boot.grants.group(GroupId(service=service, group=group))

    @callback
    def _grants_answer(self, held: int, busy: list[int], now: float) -> Response:
        """Return the answer to a grants call."""
        boot_id = self._boot.identity.boot_id
        document = {"boot_id": boot_id, "clock": now, "held": held, "busy": busy}
        return json_response(document)

    @callback
    def _refuse(self, group: GroupGrants, now: float) -> Response:
        """Return the answer to a message that is not followed."""
        return json_response(
            {
                "term": group.fence.term,
                "holder": group.fence.holder,
                "boot_id": self._boot.identity.boot_id,
                "clock": now,
            },
            409,
        )
