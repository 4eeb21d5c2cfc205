"""Use of one permit by one send of a request."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.core import callback
from swiftpin.dispatch.http_send_state import HttpSendState
from swiftpin.permits.permit import Permit
from swiftpin.permits.permit_broker import PermitBroker
from swiftpin.poison.open_sends import OpenSend, OpenSends
from swiftpin.poison.send_outcome import SendOutcome


@dataclass(frozen=True, kw_only=True, slots=True)
class BegunAnswer:
    """What is known of an answer when it begins."""

    is_proof: bool
    """Whether it shows that the target has run the request, once it is complete."""

    is_complete: bool


class PermitUse:
    """Releases a permit once, by whatever ends its use first.

    Every send ends here, so an unanswered one is always reported, before its issuer
    stops counting it.
    """

    def __init__(
        self,
        permits: PermitBroker,
        permit: Permit,
        open_sends: OpenSends,
        state: HttpSendState,
    ) -> None:
        self.permit = permit
        self.is_link_silent = False
        """Whether the permit was released since the link to the target is lost."""

        self._permits = permits
        self._open_sends = open_sends
        self._state = state
        self._open_send: OpenSend | None = None
        self._is_released = False
        self._is_answer_reported = False
        self._final_outcome = SendOutcome.ANSWERED

    @callback
    def begin_send(self, open_send: OpenSend) -> None:
        """Record that the request is written to its target now."""
        self._open_send = open_send
        self._open_sends.begin(open_send)

    @callback
    def release(
        self,
        seconds: float,
        *,
        failed: bool,
        abandoned: bool = False,
        unreachable: bool = False,
        outcome: SendOutcome = SendOutcome.UNANSWERED,
    ) -> None:
        """Release the permit; see `PermitBroker.release`.

        `outcome` is that of a request that was written.
        """
        self._record_outcome(outcome)
        if self._is_released:
            return
        self._is_released = True
        self._is_answer_reported = (
            outcome is SendOutcome.ANSWERED and self._state.written
        )
        self._permits.release(
            self.permit,
            seconds,
            failed=failed,
            abandoned=abandoned,
            is_answered=self._is_answer_reported,
            unreachable=unreachable,
        )

    @callback
    def begin_answer(
        self, seconds: float, *, failed: bool, answer: BegunAnswer
    ) -> None:
        """Release the permit when an answer begins, which frees the target's slot."""
        self._final_outcome = (
            SendOutcome.ANSWERED if answer.is_proof else SendOutcome.FAILED
        )
        outcome = self._final_outcome if answer.is_complete else SendOutcome.BEGUN
        self.release(seconds, failed=failed, outcome=outcome)

    @callback
    def release_silent(self) -> None:
        """Release the permit of a request whose link is lost.

        How long the target took, and whether it failed, is unknown.
        """
        self.is_link_silent = True
        self.release(0.0, failed=False)

    @callback
    def finish(self, is_complete: bool) -> None:
        """Record the end of an answer that has begun."""
        if not is_complete:
            self._record_outcome(SendOutcome.UNANSWERED)
            return
        is_proof = self._final_outcome is SendOutcome.ANSWERED
        if is_proof and not self._is_answer_reported:
            self._is_answer_reported = True
            self._permits.report_answered(self.permit, self._fingerprint)
        self._record_outcome(self._final_outcome)

    @property
    def _fingerprint(self) -> int:
        """Return the fingerprint of the request, 0 if it was not written."""
        return 0 if self._open_send is None else self._open_send.send.fingerprint

    @callback
    def _record_outcome(self, outcome: SendOutcome) -> None:
        """Record the outcome of the send, unless its answer has only begun."""
        if self._open_send is None or outcome is SendOutcome.BEGUN:
            return
        if not self._state.written:
            outcome = SendOutcome.NOT_RUN
        self._open_sends.end(self._open_send, outcome)
