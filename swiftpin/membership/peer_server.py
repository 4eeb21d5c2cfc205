"""Server of the messages between instances."""

from __future__ import annotations

from collections.abc import Callable

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream

from swiftpin.core import callback, monotonic_now
from swiftpin.exceptions import ConfigurationError
from swiftpin.helpers.address import parse_address
from swiftpin.membership.directory import InstanceDirectory
from swiftpin.membership.instance_id import is_meant
from swiftpin.membership.malformed_object_error import MalformedObjectError
from swiftpin.membership.news_handler import NewsHandler
from swiftpin.membership.news_item import NewsItem
from swiftpin.membership.peer_counters import PeerCounters
from swiftpin.membership.peer_handler import PeerHandler
from swiftpin.membership.proto import peer_pb2 as pb
from swiftpin.membership.proto.peer_grpc import PeerBase
from swiftpin.membership.wire import (
    Message,
    decode_beat,
    decode_group,
    decode_item,
    decode_stamps,
    encode_age,
    encode_item,
)
from swiftpin.security.server_tls import ServerTls

PeerStream = Stream[Message, Message]


class PeerServer(PeerBase):  # type: ignore[misc]  # generated code has no types
    """Answers other instances, if they mean this incarnation of this one.

    `tls` may be set before the set-up; then only instances with a certificate of its
    CA get in.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        handler: PeerHandler,
        news: NewsHandler,
        directory: InstanceDirectory,
        counters: PeerCounters,
        clock: Callable[[], float] = monotonic_now,
    ) -> None:
        self._instance_id = instance_id
        self._handler = handler
        self._news = news
        self._directory = directory
        self._counters = counters
        self._clock = clock
        self.tls: ServerTls | None = None
        self._server: Server | None = None
        self._is_closed = False

    @callback
    def attach_handler(self, handler: PeerHandler) -> None:
        """Set who answers messages about ownership."""
        self._handler = handler

    async def async_setup(self, listen: str) -> None:
        """Listen on `host:port`; raises `ConfigurationError` when that fails."""
        server = Server([self])
        ssl = None if self.tls is None else self.tls.listen_context
        try:
            address = parse_address(listen)
            await server.start(address.host, address.port, ssl=ssl)
        except (OSError, ValueError) as err:
            raise ConfigurationError(f"cannot listen on {listen}: {err}") from err
        self._server = server

    async def async_unload(self) -> None:
        """Stop listening, end the calls under way and refuse further ones."""
        self._is_closed = True
        if self._server is None:
            return
        self._server.close()
        await self._server.wait_closed()
        self._server = None

    async def Heartbeat(self, stream: PeerStream) -> None:  # noqa: N802
        """Answer a holder's sign of life."""
        request = await self._async_receive(stream)
        reply = pb.HeartbeatReply()
        if self._is_meant(request):
            beats = [decode_beat(group) for group in request.groups]
            accepted = self._handler.handle_heartbeat(
                request.sender, beats, self._clock()
            )
            for beat in beats:
                if beat.group in accepted:
                    reply.accepted.add(
                        service=beat.group.service,
                        group=beat.group.group,
                        term=beat.term,
                    )
        await self._async_reply(stream, reply)

    async def HandOver(self, stream: PeerStream) -> None:  # noqa: N802
        """Take a group over from a holder that stops."""
        request = await self._async_receive(stream)
        reply = pb.HandOverReply()
        if self._is_meant(request):
            reply.accepted = await self._handler.async_handle_hand_over(
                request.sender,
                decode_group(request.group),
                request.group.term,
                self._clock(),
            )
        await self._async_reply(stream, reply)

    async def PushNews(self, stream: PeerStream) -> None:  # noqa: N802
        """Adopt news."""
        request = await self._async_receive(stream)
        reply = pb.PushNewsReply()
        if self._is_meant(request):
            items = _decode_items(request)
            outcome = self._news.handle_push(request.sender, items, self._clock())
            reply.adopted.extend(sorted(outcome.adopted))
            reply.wanted.extend(sorted(outcome.wanted))
        await self._async_reply(stream, reply)

    async def CompareDigest(self, stream: PeerStream) -> None:  # noqa: N802
        """Compare the digest of everything."""
        request = await self._async_receive(stream)
        reply = pb.CompareDigestReply()
        if self._is_meant(request):
            outcome = self._news.handle_compare(request.root, self._clock())
            reply.buckets.extend(outcome.buckets or ())
            reply.loaded = outcome.loaded
            age = encode_age(outcome.store_age)
            if age is not None:
                reply.store_age_ms = age
        await self._async_reply(stream, reply)

    async def Repair(self, stream: PeerStream) -> None:  # noqa: N802
        """Even out what differs in some buckets."""
        request = await self._async_receive(stream)
        reply = pb.RepairReply()
        if self._is_meant(request):
            outcome = self._news.handle_repair(
                list(request.buckets), decode_stamps(request.stamps)
            )
            reply.objects.extend([encode_item(item) for item in outcome.items])
            reply.wanted.extend(sorted(outcome.wanted))
        await self._async_reply(stream, reply)

    async def _async_receive(self, stream: PeerStream) -> Message:
        """Return the request and count it.

        The library's server goes on answering on connections that are open when it
        is closed; a peer would take this instance for a working one.
        """
        if self._is_closed:
            raise GRPCError(Status.UNAVAILABLE, "this instance has stopped")
        request = await stream.recv_message()
        assert request is not None
        self._counters.note_received(request.ByteSize())
        self._directory.note_instance(request.sender)
        return request

    async def _async_reply(self, stream: PeerStream, reply: Message) -> None:
        """Send the reply under this instance's id and count it."""
        reply.receiver = self._instance_id
        self._counters.note_sent(reply.ByteSize())
        await stream.send_message(reply)

    @callback
    def _is_meant(self, request: Message) -> bool:
        """Return whether this incarnation is meant, and count it when not.

        A message to an earlier incarnation speaks of what that one promised, for
        instance acknowledgements that this one knows nothing of. Its sender
        notices by the receiver's id in the reply.
        """
        if is_meant(request.to, self._instance_id):
            return True
        self._counters.refused += 1
        return False


def _decode_items(request: Message) -> list[NewsItem]:
    """Return the objects of a request; refuse it when one is malformed."""
    try:
        return [decode_item(item) for item in request.objects]
    except MalformedObjectError as err:
        raise GRPCError(Status.INVALID_ARGUMENT, str(err)) from err
