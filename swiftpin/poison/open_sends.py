"""Requests of this instance that are at a target."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from swiftpin.core import callback
from swiftpin.poison.send_outcome import SendOutcome
from swiftpin.poison.suspicion import UnansweredSend


@dataclass(eq=False, kw_only=True, slots=True)
class OpenSend:
    """A request that was written to a target and has no complete answer yet."""

    send: UnansweredSend
    is_owner: Callable[[], bool]
    """Returns whether copies of the request would go to the same target."""

    is_issuer: Callable[[], bool]
    """Returns whether copies of the request would get permits from the same issuer."""


class OpenSends:
    """Sends of this instance whose outcome is not known.

    The issuer of a send's permit counts it until the permit is released. Another one,
    of the next owner of the key or after the loss of the issuer, doesn't know it. So a
    send is reported as unanswered as soon as copies of it may get permits elsewhere.
    """

    def __init__(self) -> None:
        self.on_unanswered: Callable[[UnansweredSend], None] = _ignore_send
        """Called once with each send that has no answer, or none so far."""

        self._open: dict[OpenSend, None] = {}

    @callback
    def begin(self, send: OpenSend) -> None:
        """Record that a request is written to its target now."""
        self._open[send] = None

    @callback
    def end(self, send: OpenSend, outcome: SendOutcome) -> None:
        """Record the outcome of a send, which is known already if it was reported."""
        is_open = send in self._open
        self._open.pop(send, None)
        if is_open and outcome is SendOutcome.UNANSWERED:
            self.on_unanswered(send.send)

    @callback
    def review_owners(self) -> None:
        """Report the sends whose copies go to other targets now."""
        for send in list(self._open):
            if not send.is_owner():
                self.end(send, SendOutcome.UNANSWERED)

    @callback
    def review_issuers(self) -> None:
        """Report the sends whose copies get permits from other issuers now."""
        for send in list(self._open):
            if not send.is_issuer():
                self.end(send, SendOutcome.UNANSWERED)


@callback
def _ignore_send(send: UnansweredSend) -> None:
    """Do nothing."""
