"""Telling of requests that crash targets."""

from __future__ import annotations

from swiftpin.core import callback
from swiftpin.fleet.links import FleetLinks
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.router.known_leader import KnownLeader
from swiftpin.router.poison_watch import PoisonWatch


class PoisonReports:
    """Brings suspects to the leader, which counts them, and its verdicts to all."""

    def __init__(
        self, links: FleetLinks, leader: KnownLeader, poison: PoisonWatch
    ) -> None:
        self._links = links
        self._leader = leader
        self._poison = poison
        poison.on_suspect = self._report_suspect
        poison.on_quarantine = self._tell_quarantine

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
    def _report_suspect(self, fingerprint: int, target: str) -> None:
        """Tell the instance that assigns keys of a request that silenced a target."""
        suspect = pb.Suspect(fingerprint=fingerprint, target=target)
        link = self._links.outgoing_by_peer.get(self._leader.record.peer)
        if link is None:
            self.take_suspect(suspect, suspend_aware_now())
            return
        link.send(pb.Item(suspect=suspect))

    @callback
    def _tell_quarantine(self, fingerprint: int) -> None:
        """Tell everyone which request to refuse."""
        verdict = pb.Quarantine(fingerprints=[fingerprint])
        for link in self._links.incoming:
            link.send(pb.Item(quarantine=verdict))
