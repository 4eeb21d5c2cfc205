"""Calls to other instances."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final

from grpclib.client import UnaryUnaryMethod
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from h2.exceptions import H2Error

from swiftpin.core import callback, monotonic_now
from swiftpin.exceptions import PeerError
from swiftpin.membership.compare_reply import CompareReply
from swiftpin.membership.directory import InstanceDirectory
from swiftpin.membership.group_heartbeat import GroupHeartbeat
from swiftpin.membership.heartbeat_reply import HeartbeatReply
from swiftpin.membership.instance_id import is_meant, name_of
from swiftpin.membership.malformed_object_error import MalformedObjectError
from swiftpin.membership.news_item import NewsItem
from swiftpin.membership.peer_channel import PeerChannel
from swiftpin.membership.peer_counters import PeerCounters
from swiftpin.membership.peer_restarted_error import PeerRestartedError
from swiftpin.membership.proto import peer_pb2 as pb
from swiftpin.membership.push_reply import PushReply
from swiftpin.membership.repair_reply import RepairReply
from swiftpin.membership.stamp import Stamp
from swiftpin.membership.wire import (
    Message,
    decode_age,
    decode_group,
    decode_item,
    encode_beat,
    encode_item,
    encode_stamp,
)
from swiftpin.ownership.group_id import GroupId
from swiftpin.security.client_tls import ClientTls

DEFAULT_CALL_TIMEOUT: Final = 0.5
MAX_CHANNELS: Final = 32
"""Connections kept open; the least recently used ones are closed beyond it."""

_CALL_ERRORS: Final = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    H2Error,
    OSError,
    TimeoutError,
)


class PeerClients:
    """Calls of the service `Peer`, each with a time limit in seconds.

    An instance is addressed by its id, or by its bare name where any incarnation
    will do. Every call raises `PeerError` when no answer came, after which it may
    or may not have been handled, and `PeerRestartedError` when the incarnation
    addressed is gone. `tls` may be set before the first call.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        directory: InstanceDirectory,
        counters: PeerCounters,
        timeout: float = DEFAULT_CALL_TIMEOUT,
        clock: Callable[[], float] = monotonic_now,
    ) -> None:
        self._instance_id = instance_id
        self._directory = directory
        self._counters = counters
        self._timeout = timeout
        self._clock = clock
        self.tls: ClientTls | None = None
        self._channels_by_name: dict[str, PeerChannel] = {}

    async def async_heartbeat(
        self, instance_id: str, beats: list[GroupHeartbeat]
    ) -> HeartbeatReply:
        """Send a sign of life for groups and return the acknowledged ones."""
        request = pb.HeartbeatRequest(groups=[encode_beat(beat) for beat in beats])
        reply = await self._async_call(instance_id, "Heartbeat", request)
        terms_by_group = {beat.group: beat.term for beat in beats}
        accepted = frozenset(
            decode_group(group)
            for group in reply.accepted
            if terms_by_group.get(decode_group(group)) == group.term
        )
        return HeartbeatReply(receiver=reply.receiver, accepted=accepted)

    async def async_hand_over(
        self, instance_id: str, group: GroupId, term: int
    ) -> bool:
        """Ask an instance to take a group over; return whether it does."""
        message = pb.Group(service=group.service, group=group.group, term=term)
        request = pb.HandOverRequest(group=message)
        reply = await self._async_call(instance_id, "HandOver", request)
        return bool(reply.accepted)

    async def async_push_news(
        self, instance_id: str, items: list[NewsItem]
    ) -> PushReply:
        """Pass versions of objects on."""
        request = pb.PushNewsRequest(objects=[encode_item(item) for item in items])
        reply = await self._async_call(instance_id, "PushNews", request)
        return PushReply(
            adopted=frozenset(reply.adopted), wanted=frozenset(reply.wanted)
        )

    async def async_compare(self, instance_id: str, root: int) -> CompareReply:
        """Compare the digest of everything."""
        request = pb.CompareDigestRequest(root=root)
        reply = await self._async_call(instance_id, "CompareDigest", request)
        return CompareReply(
            buckets=tuple(reply.buckets) or None,
            store_age=decode_age(reply),
            loaded=reply.loaded,
        )

    async def async_repair(
        self, instance_id: str, buckets: list[int], stamps_by_name: dict[str, Stamp]
    ) -> RepairReply:
        """Compare the versions in some buckets."""
        stamps = [encode_stamp(name, stamp) for name, stamp in stamps_by_name.items()]
        request = pb.RepairRequest(buckets=buckets, stamps=stamps)
        reply = await self._async_call(instance_id, "Repair", request)
        try:
            items = [decode_item(item) for item in reply.objects]
        except MalformedObjectError as err:
            raise PeerError(f"{instance_id} sent a malformed object") from err
        return RepairReply(items=items, wanted=frozenset(reply.wanted))

    async def async_unload(self) -> None:
        """Close every connection."""
        while self._channels_by_name:
            _, channel = self._channels_by_name.popitem()
            channel.close()

    async def _async_call(
        self, instance_id: str, method: str, request: Message
    ) -> Message:
        """Send one request and return its reply."""
        channel = self._channel(instance_id)
        request.sender = self._instance_id
        request.to = instance_id
        self._counters.note_sent(request.ByteSize())
        started = self._clock()
        try:
            with channel.in_use(started):
                call = getattr(channel.stub, method)
                reply = await self._async_send(call, request)
        except _CALL_ERRORS as err:
            self._counters.failed += 1
            self._drop_if_silent(instance_id, channel, started)
            raise PeerError(f"{method} to {instance_id}: {err!r}") from err
        channel.answered_at = self._clock()
        self._counters.note_received(reply.ByteSize())
        self._directory.note_instance(reply.receiver)
        if not is_meant(instance_id, reply.receiver):
            raise PeerRestartedError(instance_id, reply.receiver)
        return reply

    async def _async_send(
        self, call: UnaryUnaryMethod[Any, Any], request: Message
    ) -> Message:
        """Send a request within the time limit, which includes connecting."""
        async with asyncio.timeout(self._timeout):
            return await call(request)

    @callback
    def _channel(self, instance_id: str) -> PeerChannel:
        """Return the connection to an instance; it may not be open yet."""
        name = name_of(instance_id)
        info = self._directory.info_of(name)
        if info is None:
            raise PeerError(f"{instance_id} is not listed")
        channel = self._channels_by_name.get(name)
        if channel is not None and channel.address == info.peer:
            return channel
        if channel is not None:
            channel.close()
        channel = PeerChannel(info.peer, self._clock(), self.tls)
        self._channels_by_name[name] = channel
        self._close_unused()
        return channel

    @callback
    def _close_unused(self) -> None:
        """Close the least recently used connections beyond the limit."""
        excess = len(self._channels_by_name) - MAX_CHANNELS
        if excess <= 0:
            return
        idle = [name for name, peer in self._channels_by_name.items() if peer.is_idle]
        idle.sort(key=lambda name: self._channels_by_name[name].used_at)
        for name in idle[:excess]:
            self._channels_by_name.pop(name).close()

    @callback
    def _drop_if_silent(self, name: str, channel: PeerChannel, since: float) -> None:
        """Close a connection on which nothing was answered since a call began.

        After a partition a connection waits for TCP's next resend, which comes ever
        later: calls would go on timing out although the peer is reachable again. A
        new connection is tried at once. One on which other calls were answered
        is kept, so that a slow call does not end the heartbeats beside it.
        """
        if channel.answered_at > since:
            return
        if self._channels_by_name.get(name_of(name)) is channel:
            del self._channels_by_name[name_of(name)]
        channel.close()
