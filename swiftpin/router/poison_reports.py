"""Telling of requests that crash targets."""

from __future__ import annotations

from swiftpin.core import callback
from swiftpin.fleet.link import PeerLink
from swiftpin.fleet.links import FleetLinks
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.router.known_leader import KnownLeader
from swiftpin.router.poison_watch import MEMORY, PoisonWatch


class PoisonReports:
    """Brings suspects to the leader, which counts them, and its verdicts to all.

    An instance keeps what it reported, since a leader that ends takes its counts along.
    """

    def __init__(
        self, links: FleetLinks, leader: KnownLeader, poison: PoisonWatch
    ) -> None:
        self._links = links
        self._leader = leader
        self._poison = poison
        self._seen_at_by_suspect: dict[tuple[int, str], float] = {}
        self._untold: set[tuple[int, str]] = set()
        self._told_link: PeerLink | None = None
        poison.on_suspect = self._note_suspect
        poison.on_quarantine = self._tell_quarantine

    @callback
    def report(self, now: float) -> None:
        """Tell the leader of suspects that it has not been told of."""
        self._drop_old(now)
        link = self._links.outgoing_by_peer.get(self._leader.record.peer)
        if link is None:
            return
        if link is not self._told_link:
            self._told_link = link
            self._untold.update(self._seen_at_by_suspect)
        for suspect in sorted(self._untold):
            fingerprint, target = suspect
            report = pb.Suspect(fingerprint=fingerprint, target=target)
            link.send(pb.Item(suspect=report))
        self._untold.clear()

    @callback
    def give(self, link: PeerLink, now: float) -> None:
        """Tell an instance that opened a link which requests to refuse."""
        fingerprints = self._poison.quarantined(now)
        if fingerprints:
            link.send(pb.Item(quarantine=pb.Quarantine(fingerprints=fingerprints)))

    @callback
    def take_suspect(self, suspect: pb.Suspect, now: float) -> None:
        """Count a target that a request silenced."""
        self._poison.note_silenced(suspect.fingerprint, suspect.target, now)

    @callback
    def take_quarantine(self, verdict: pb.Quarantine, now: float) -> None:
        """Refuse requests from now on."""
        for fingerprint in verdict.fingerprints:
            self._poison.quarantine(fingerprint, now)

    @callback
    def _note_suspect(self, fingerprint: int, target: str, now: float) -> None:
        """Tell the instance that assigns keys of a request that silenced a target."""
        self._seen_at_by_suspect.pop((fingerprint, target), None)
        self._seen_at_by_suspect[fingerprint, target] = now
        self._untold.add((fingerprint, target))
        # Counted here too: this may be the leader, or become it.
        self._poison.note_silenced(fingerprint, target, now)
        self.report(now)

    @callback
    def _drop_old(self, now: float) -> None:
        """Forget suspects of long ago, the oldest of which come first."""
        while self._seen_at_by_suspect:
            suspect, seen_at = next(iter(self._seen_at_by_suspect.items()))
            if now - seen_at < MEMORY:
                return
            del self._seen_at_by_suspect[suspect]
            self._untold.discard(suspect)

    @callback
    def _tell_quarantine(self, fingerprint: int) -> None:
        """Tell everyone which request to refuse."""
        verdict = pb.Quarantine(fingerprints=[fingerprint])
        for link in self._links.incoming:
            link.send(pb.Item(quarantine=verdict))
