"""Ways of a request to its target: directly, or through another instance."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from swiftpin.core import callback
from swiftpin.dispatch.http_request import HttpRequest
from swiftpin.exceptions import (
    ConnectionFailedError,
    RequestNotSentError,
    SendNotAllowedError,
)
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.relays.relay import Relay
from swiftpin.relays.relay_choice import RelayChoice
from swiftpin.relays.relay_client import RelayNotSentError
from swiftpin.relays.relay_terms import RelayResult, RelayTerms
from swiftpin.relays.silence_watch import OpenExchange, SilenceWatch
from swiftpin.relays.target_links import TargetLinks
from swiftpin.router.target_client import TargetAnswer, TargetClient, TargetSend

MAX_RELAYS_PER_SEND: Final = 3
"""Maximum number of relays that one send of a request may ask."""


class UnconfirmedConnectionError(ConnectionFailedError):
    """No connection was opened, and no other instance confirms that none can be."""


@dataclass(kw_only=True, slots=True)
class OutgoingRequest:
    """A request to a target, and how it may be sent."""

    send: TargetSend
    make_request: Callable[[], HttpRequest]
    """Returns the request; headers and time left are set anew for each way."""

    can_be_sent: Callable[[], bool]
    """Returns whether the body, or all of a streamed one, is still available."""

    terms: Callable[[], RelayTerms]
    connections: int
    max_idle: float
    on_silent: Callable[[], None]
    """Called if the request was written to a link that is found lost."""

    has_alternatives: Callable[[], bool]
    """Returns whether the request may be sent to another target instead."""

    relay: Relay | None = None
    """The relay that passed the request on, None if it was sent directly."""

    link_evidence_age: float = 0.0
    """Age of the evidence, in seconds, by which the own link was not used."""


class TargetWays:
    """Sends a request directly, or through a relay while the own link is lost.

    A request is written to one way at a time. It takes another one only if nothing was
    written to the first, or if the relay states that it sent nothing. Relays send
    directly only, so a request is passed on once at most.
    """

    def __init__(
        self,
        *,
        client: TargetClient,
        links: TargetLinks,
        watch: SilenceWatch,
        relays: RelayChoice,
    ) -> None:
        self.on_relays_needed: Callable[[], None] = _do_nothing
        """Called when a link fails, so that the relays are known in time."""

        self._client = client
        self._links = links
        self._watch = watch
        self._relays = relays

    @callback
    def probe(self, target: str) -> None:
        """Let the link to a target be probed soon."""
        self._watch.request_probe(target)

    async def async_exchange(self, outgoing: OutgoingRequest) -> TargetAnswer:
        """Return the head of the target's answer.

        Raises the same errors as `HttpClient.async_exchange`.
        """
        target_id = outgoing.send.target.id
        now = suspend_aware_now()
        is_lost = self._links.is_lost(target_id, now)
        if is_lost and self._links.is_silent(target_id):
            error: RequestNotSentError = ConnectionFailedError("the link is lost")
        else:
            try:
                return await self._async_send_directly(
                    outgoing, may_connect=not is_lost
                )
            except ConnectionFailedError as err:
                self._links.record_failure(target_id, str(err), suspend_aware_now())
                error = err
            except SendNotAllowedError:
                raise
            except RequestNotSentError as err:
                if not is_lost:
                    raise
                error = ConnectionFailedError(f"the link is lost; {err}")
        if self._links.leads_nowhere(target_id) and outgoing.has_alternatives():
            # A relay would take as long to find out that nobody listens.
            raise error
        self.on_relays_needed()
        return await self._async_send_through_relay(outgoing, error)

    async def _async_send_directly(
        self, outgoing: OutgoingRequest, *, may_connect: bool
    ) -> TargetAnswer:
        """Send a request over this instance's own link."""
        target_id = outgoing.send.target.id
        exchange = OpenExchange(
            target=target_id, written_at=0.0, on_silent=outgoing.on_silent
        )

        def on_write(written_at: float) -> None:
            exchange.written_at = written_at
            self._watch.begin(exchange)

        try:
            answer = await self._client.async_send(
                outgoing.send,
                outgoing.make_request(),
                on_write=on_write,
                connections=outgoing.connections,
                max_idle=outgoing.max_idle,
                may_connect=may_connect,
            )
        finally:
            self._watch.end(exchange)
        now = suspend_aware_now()
        self._watch.record_answer(target_id, now)
        self._links.record_answer(target_id, now)
        return answer

    async def _async_send_through_relay(
        self, outgoing: OutgoingRequest, error: RequestNotSentError
    ) -> TargetAnswer:
        """Send a request through a relay; raise `error` if there is none."""
        target_id = outgoing.send.target.id
        tried: list[str] = []
        is_confirmed = not self._relays.has_relays or self._relays.is_unreachable(
            target_id, suspend_aware_now()
        )
        while len(tried) < MAX_RELAYS_PER_SEND and outgoing.can_be_sent():
            now = suspend_aware_now()
            relay = self._relays.choose(target_id, tried, now)
            if relay is None:
                break
            tried.append(relay.address)
            outgoing.link_evidence_age = self._links.evidence_age(target_id, now)
            outgoing.relay = relay
            self._relays.begin(relay)
            try:
                answer = await self._client.async_send_through(
                    relay, outgoing.terms(), outgoing.send, outgoing.make_request()
                )
            except RelayNotSentError as err:
                now = suspend_aware_now()
                self._relays.record_refusal(relay, target_id, err.result, now)
                error = ConnectionFailedError(f"{error}; {err}")
                is_confirmed = is_confirmed or err.result is RelayResult.NO_LINK
                outgoing.relay = None
                continue
            finally:
                self._relays.end(relay)
            self._links.record_relayed(target_id, suspend_aware_now())
            return answer
        if is_confirmed:
            raise error
        raise UnconfirmedConnectionError(str(error)) from error


@callback
def _do_nothing() -> None:
    """Do nothing."""
