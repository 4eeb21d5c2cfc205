"""Exchange of poison request reports and quarantines between instances."""

from __future__ import annotations

from swiftpin.core import callback
from swiftpin.fleet.link import PeerLink
from swiftpin.fleet.links import FleetLinks
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.router.known_leader import KnownLeader
from swiftpin.router.poison_detector import SUSPECT_LIFETIME, PoisonDetector


class PoisonReports:
    """Reports suspects to the leader and sends the leader's quarantines to all.

    A suspect is a request with a target that did not answer it. An instance keeps the
    suspects it has reported and reports them again to a new leader, since the counts
    of the previous one are lost.
    """

    def __init__(
        self, links: FleetLinks, leader: KnownLeader, poison: PoisonDetector
    ) -> None:
        self._links = links
        self._leader = leader
        self._poison = poison
        self._seen_at_by_suspect: dict[tuple[int, str], float] = {}
        self._unreported: set[tuple[int, str]] = set()
        self._reported_link: PeerLink | None = None
        poison.on_suspect = self._record_and_report
        poison.on_quarantine = self._broadcast_quarantine

    @callback
    def report_suspects(self, now: float) -> None:
        """Send the leader the suspects that have not been reported to it."""
        self._drop_expired_suspects(now)
        link = self._links.outgoing_by_peer.get(self._leader.record.peer)
        if link is None:
            return
        if link is not self._reported_link:
            self._reported_link = link
            self._unreported.update(self._seen_at_by_suspect)
        for suspect in sorted(self._unreported):
            fingerprint, target = suspect
            report = pb.Suspect(fingerprint=fingerprint, target=target)
            link.send(pb.Item(suspect=report))
        self._unreported.clear()

    @callback
    def send_quarantines(self, link: PeerLink, now: float) -> None:
        """Send the current quarantines to an instance that opened a link."""
        fingerprints = self._poison.quarantined_fingerprints(now)
        if fingerprints:
            link.send(pb.Item(quarantine=pb.Quarantine(fingerprints=fingerprints)))

    @callback
    def handle_suspect(self, suspect: pb.Suspect, now: float) -> None:
        """Count a suspect that another instance reported."""
        self._poison.record_suspect(suspect.fingerprint, suspect.target, now)

    @callback
    def handle_quarantine(self, quarantine: pb.Quarantine, now: float) -> None:
        """Apply a quarantine sent by the leader."""
        for fingerprint in quarantine.fingerprints:
            self._poison.quarantine(fingerprint, now)

    @callback
    def _record_and_report(self, fingerprint: int, target: str, now: float) -> None:
        """Record a suspect of this instance and report it to the leader."""
        self._seen_at_by_suspect.pop((fingerprint, target), None)
        self._seen_at_by_suspect[fingerprint, target] = now
        self._unreported.add((fingerprint, target))
        # Also counted locally, since this instance may be or become the leader.
        self._poison.record_suspect(fingerprint, target, now)
        self.report_suspects(now)

    @callback
    def _drop_expired_suspects(self, now: float) -> None:
        """Drop expired suspects; the dictionary is ordered by age."""
        while self._seen_at_by_suspect:
            suspect, seen_at = next(iter(self._seen_at_by_suspect.items()))
            if now - seen_at < SUSPECT_LIFETIME:
                return
            del self._seen_at_by_suspect[suspect]
            self._unreported.discard(suspect)

    @callback
    def _broadcast_quarantine(self, fingerprint: int) -> None:
        """Send a quarantine to all linked instances."""
        quarantine = pb.Quarantine(fingerprints=[fingerprint])
        for link in self._links.incoming:
            link.send(pb.Item(quarantine=quarantine))
