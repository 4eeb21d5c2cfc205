"""Exchange of suspicions and quarantines of requests between instances."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback
from swiftpin.fleet.link import PeerLink
from swiftpin.fleet.links import FleetLinks
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.poison.suspect_table import SUSPECT_LIFETIME, SuspectTable
from swiftpin.poison.suspicion import AnsweredSuspect, LifeSign, UnansweredSend
from swiftpin.poison.target_lives import TargetLives

LINK_DELAY: Final = 1.0
"""Seconds that a report may take to another instance. Its sender's clock is not known
there, so the time of a send is only known to be that much earlier at most."""

RENEWAL_INTERVAL: Final = 30.0
"""Seconds between two reports of one instance that a request is still resent."""


class PoisonReports:
    """Tells the instances that issue permits of all unanswered sends.

    Each instance has links to the lease holder and to all issuers. All of them count
    for themselves, so none of them is needed for the count. Whoever opens a link tells
    what it knows, and gets told, so an instance that starts late or was cut off knows
    what the others do. Quarantines are told to all instances, and end with time only.
    """

    def __init__(
        self,
        *,
        links: FleetLinks,
        suspects: SuspectTable,
    ) -> None:
        self._links = links
        self._suspects = suspects
        self._renewed_at_by_fingerprint: dict[int, float] = {}
        self._reporters_by_fingerprint: dict[int, set[PeerLink]] = {}
        """Links over which unanswered sends of a request were reported."""

    @callback
    def update(self, lives: TargetLives, now: float) -> None:
        """Compare what is known of targets with the requests that were at them."""
        for fingerprint in self._suspects.review(lives, now):
            self._suspects.quarantine(fingerprint, now)
            self._send_to_all(_make_quarantine([fingerprint]))
        for fingerprint in list(self._reporters_by_fingerprint):
            if not self._suspects.is_suspected(fingerprint):
                del self._reporters_by_fingerprint[fingerprint]

    @callback
    def send_all(self, link: PeerLink, now: float) -> None:
        """Send what is known to an instance whose link was opened."""
        for send in self._suspects.sends_since(now - SUSPECT_LIFETIME):
            link.send(_make_suspect(send, now))
        for answer in self._suspects.answers_to_suspects():
            link.send(_make_answered(answer))
        fingerprints = self._suspects.quarantined_fingerprints(now)
        if fingerprints:
            link.send(_make_quarantine(fingerprints))

    @callback
    def report_unanswered(self, send: UnansweredSend, now: float) -> None:
        """Report a send of this instance, or one under a permit that it issued."""
        self._suspects.record_unanswered(send, now)
        self._send_to_issuers(_make_suspect(send, now))

    @callback
    def report_answered(self, fingerprint: int, target: str, now: float) -> None:
        """Report that a target ran a request, here and where it is suspected."""
        answers = self._suspects.record_answer(fingerprint, target, now)
        if not answers:
            return
        item = _make_answered(
            AnsweredSuspect(fingerprint=fingerprint, target=target, answers=answers)
        )
        self._send_to_issuers(item)
        for link in self._reporters_by_fingerprint.get(fingerprint, ()):
            link.send(item)

    @callback
    def report_life_sign(self, sign: LifeSign, now: float) -> None:
        """Clear what a target has outlived, here and where it is known."""
        if not self._suspects.record_life_sign(sign):
            return
        message = pb.LifeSign(
            target=sign.target,
            connected_age=now - sign.connected_at,
            asked_age=now - sign.asked_at,
        )
        self._send_to_issuers(pb.Item(life_sign=message))

    @callback
    def report_resend(self, fingerprint: int, now: float) -> None:
        """Report now and then that a quarantined request is still resent.

        Otherwise it would be forgotten where its resends don't arrive.
        """
        renewed_at = self._renewed_at_by_fingerprint.get(fingerprint)
        if renewed_at is not None and now - renewed_at < RENEWAL_INTERVAL:
            return
        self._renewed_at_by_fingerprint = {
            known: at
            for known, at in self._renewed_at_by_fingerprint.items()
            if now - at < RENEWAL_INTERVAL
        }
        self._renewed_at_by_fingerprint[fingerprint] = now
        self._send_to_issuers(_make_quarantine([fingerprint]))

    @callback
    def handle_suspect(self, link: PeerLink, suspect: pb.Suspect, now: float) -> None:
        """Record an unanswered send that another instance reported."""
        reporters = self._reporters_by_fingerprint.setdefault(
            suspect.fingerprint, set()
        )
        reporters.add(link)
        send = UnansweredSend(
            fingerprint=suspect.fingerprint,
            target=suspect.target,
            sent_at=now - suspect.sent_age - LINK_DELAY,
            settles_at=now + suspect.settles_in,
        )
        self._suspects.record_unanswered(send, now)

    @callback
    def handle_answered(self, answered: pb.AnsweredSuspects, now: float) -> None:
        """Record requests that a target has answered through other instances."""
        if not answered.target:
            # An instance of an earlier version doesn't tell which target it was.
            return
        for fingerprint in answered.fingerprints:
            self._suspects.record_answer(
                fingerprint, answered.target, now, answers=answered.answers
            )

    @callback
    def handle_life_sign(self, message: pb.LifeSign, now: float) -> None:
        """Clear what a target has outlived by an answer to another instance."""
        self._suspects.record_life_sign(
            LifeSign(
                target=message.target,
                connected_at=now - message.connected_age,
                asked_at=now - message.asked_age - LINK_DELAY,
            )
        )

    @callback
    def handle_quarantine(self, quarantine: pb.Quarantine, now: float) -> None:
        """Apply a quarantine, and pass it on if it is news."""
        news = [
            fingerprint
            for fingerprint in quarantine.fingerprints
            if self._suspects.quarantine(fingerprint, now)
        ]
        if news:
            self._send_to_all(_make_quarantine(news))

    @callback
    def _send_to_issuers(self, item: pb.Item) -> None:
        """Send a message to the lease holder and all issuers."""
        for link in self._links.outgoing_by_peer.values():
            link.send(item)

    @callback
    def _send_to_all(self, item: pb.Item) -> None:
        """Send a message to all linked instances."""
        self._send_to_issuers(item)
        for link in self._links.incoming:
            link.send(item)


@callback
def _make_suspect(send: UnansweredSend, now: float) -> pb.Item:
    """Return the message about an unanswered send."""
    return pb.Item(
        suspect=pb.Suspect(
            fingerprint=send.fingerprint,
            target=send.target,
            sent_age=now - send.sent_at,
            settles_in=send.settles_at - now,
        )
    )


@callback
def _make_answered(answer: AnsweredSuspect) -> pb.Item:
    """Return the message about a suspected request that a target has run."""
    message = pb.AnsweredSuspects(
        fingerprints=[answer.fingerprint], target=answer.target, answers=answer.answers
    )
    return pb.Item(answered_suspects=message)


@callback
def _make_quarantine(fingerprints: list[int]) -> pb.Item:
    """Return the message about quarantined requests."""
    return pb.Item(quarantine=pb.Quarantine(fingerprints=fingerprints))
