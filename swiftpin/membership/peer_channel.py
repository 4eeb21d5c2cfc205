"""Connection to one other instance."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from grpclib.client import Channel

from swiftpin.core import callback
from swiftpin.membership.proto import peer_grpc
from swiftpin.security.client_tls import ClientTls


class PeerChannel:
    """A gRPC channel that connects at its first call.

    Times are monotonic seconds.
    """

    def __init__(self, address: str, now: float, tls: ClientTls | None = None) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        ssl = None if tls is None else tls.context
        self.stub = peer_grpc.PeerStub(Channel(host, int(port), ssl=ssl))
        self.calls = 0
        self.used_at = now
        self.answered_at = now
        self._is_closed = False
        self._channel = self.stub.Heartbeat.channel

    @property
    def is_idle(self) -> bool:
        """Return whether no call is under way."""
        return self.calls == 0

    @contextmanager
    def in_use(self, now: float) -> Iterator[None]:
        """Count a call while it is under way."""
        self.used_at = now
        self.calls += 1
        try:
            yield
        finally:
            self.calls -= 1
            self._close_again()

    @callback
    def close(self) -> None:
        """Close the connection; calls under way fail."""
        self._is_closed = True
        self._channel.close()

    def _close_again(self) -> None:
        """Close a connection that a call opened after `close`.

        Such a call was waiting for the connection when another one failed; nobody
        would use or close the connection, and each would leak a socket.
        """
        if self._is_closed and self.is_idle:
            self._channel.close()
