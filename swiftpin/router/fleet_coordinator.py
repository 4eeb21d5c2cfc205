"""What this instance and the others tell each other."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.fleet.link import Item, PeerLink
from swiftpin.fleet.links import FleetLinks
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.gateway.lifecycle import Lifecycle
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.key_map import KeyMap
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.keyranges.lease_record import LeaseRecord
from swiftpin.permits.issuer_choice import by_strength, choose_issuers
from swiftpin.permits.permit_broker import PermitBroker
from swiftpin.permits.permit_issuers import PermitIssuers
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.extension_votes import ExtensionVotes
from swiftpin.router.fleet_messages import (
    LoadReport,
    decode_issuers,
    decode_key_map,
    decode_owner_changes,
    encode_issuers,
    encode_key_map,
    encode_key_map_change,
    encode_load,
)
from swiftpin.router.gossip import Gossip
from swiftpin.router.key_maps import KeyMaps
from swiftpin.router.poison_watch import PoisonWatch

TICK: Final = 0.2
"""Seconds between two looks at links, issuers and reports."""

REPORTERS: Final = 36
"""Instances above which each reports its load less often, in proportion: the one that
assigns keys takes at most 180 reports a second, each about 0.4 ms of its time."""

LEADER_SILENCE: Final = 0.65
"""Seconds without a heartbeat after which candidates begin to look at the lease;
with one heartbeat late nothing is lost but some reads."""

MEMBERS_CHANGE: Final = 8
"""Part of the members whose coming or going is told to all: their number only shares
the budget of second sends out, and each list goes to everyone."""

MOST_CANDIDATES: Final = 16
"""Instances named in the lease; the record is written several times a second."""


class FleetCoordinator:
    """Keeps the links that are needed, and takes and gives what goes over them.

    Every member is linked to the instance that assigns keys, which hands out key maps
    and the list of issuers, and to the issuers, which hand out permits.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        own_peer: str,
        strength: float,
        seeds: tuple[str, ...],
        lease: LeaseElection,
        permits: PermitBroker,
        maps: KeyMaps,
        configuration: ConfigurationHolder,
        directory: TargetDirectory,
        lifecycle: Lifecycle,
        health: StoreHealth,
        poison: PoisonWatch,
    ) -> None:
        self.links = FleetLinks(
            incarnation=incarnation,
            own_peer=own_peer,
            strength=strength,
            handler=self,
        )
        self.links.on_lost = self._note_lost
        self.on_load: Callable[[Item], None] = _ignore
        self._incarnation = incarnation
        self._own_peer = own_peer
        self._strength = strength
        self._seeds = seeds
        self._lease = lease
        self._permits = permits
        self._maps = maps
        self._configuration = configuration
        self._directory = directory
        self._lifecycle = lifecycle
        self._health = health
        self._poison = poison
        poison.on_suspect = self._report_suspect
        poison.on_quarantine = self._tell_quarantine
        self._leader = LeaseRecord(holder="", peer="", term=0, renewal=0)
        self._votes = ExtensionVotes(links=self.links, lease=lease, health=health)
        self._issuers_number = 0
        self.gossip = Gossip(
            incarnation=incarnation,
            links=self.links,
            lease=lease,
            permits=permits,
            maps=maps,
            configuration=configuration,
            directory=directory,
        )

    async def async_run(self, take_load: Callable[[], LoadReport]) -> None:
        """Keep links, issuers and reports up to date until cancelled."""
        report_at = 0.0
        while True:
            now = suspend_aware_now()
            self._keep_links()
            if self._lease.is_held(now):
                self._keep_issuers()
            self.gossip.ask()
            if now >= report_at:
                report_at = now + report_pause(self._permits.issuers.members) - TICK / 2
                self._report(take_load())
            await asyncio.sleep(TICK)

    @callback
    def note_lease(self, record: LeaseRecord) -> None:
        """Take a record of the lease."""
        if (record.term, record.renewal) >= (self._leader.term, self._leader.renewal):
            self._leader = record

    @callback
    def is_heard(self, holder: str) -> bool:
        """Return whether the holder of the lease says that it still has it."""
        now = asyncio.get_running_loop().time()
        return any(
            link.incarnation == holder
            and link.heartbeat is not None
            and link.heartbeat.leads
            and now - link.heard_at < LEADER_SILENCE
            for link in self.links.live_links()
        )

    @callback
    def hand_out_map(self, key_map: KeyMap) -> None:
        """Give a new map to everyone, as far as it differs from the last one.

        The whole map of 200 targets takes 10 KB, and each move changes it twice.
        """
        before = self._maps.maps_by_service.get(key_map.service)
        self._maps.adopt(key_map)
        item = encode_key_map(key_map)
        if before is not None and _follows(key_map, before):
            item = encode_key_map_change(key_map, key_map.changes_since(before))
        for link in self.links.incoming:
            link.send(item)

    # What arrives.

    @callback
    def handle_item(self, link: PeerLink, item: Item) -> None:
        """Take one item."""
        match item.WhichOneof("body"):
            case "ask":
                self._permits.handle_ask(link, item.ask)
            case "answer":
                self._permits.handle_answer(link, item.answer)
            case "end":
                self._permits.handle_end(link, item.end)
            case "heartbeat":
                self._take_heartbeat(link, item.heartbeat)
            case "load":
                self.on_load(item.load)
            case "key_map":
                self._maps.adopt(decode_key_map(item.key_map))
            case "key_map_change":
                self._take_map_change(link, item.key_map_change)
            case "key_map_ask":
                self._give_maps(link)
            case "suspect":
                self._take_suspect(item.suspect.fingerprint, item.suspect.target)
            case "quarantine":
                for fingerprint in item.quarantine.fingerprints:
                    self._poison.quarantine(fingerprint, suspend_aware_now())
            case "issuers":
                self._take_issuers(decode_issuers(item.issuers))
            case "hello":
                self._take_hello(link, item.hello)
            case "update_ask":
                self.gossip.give(link, item.update_ask)
            case "update":
                self.gossip.take(item.update)

    @callback
    def make_heartbeat(self, link: PeerLink) -> Item:
        """Return the heartbeat to send on a link."""
        now = suspend_aware_now()
        leader = self._leader
        return pb.Item(
            heartbeat=pb.Heartbeat(
                incarnation=self._incarnation,
                leads=self._lease.is_held(now),
                term=leader.term,
                leader=leader.holder,
                leader_peer=leader.peer,
                configuration=self._configuration.version,
                targets=self._directory.version,
                stopping=self._lifecycle.leaving,
                sent_at=now,
                echo=0.0 if link.heartbeat is None else link.heartbeat.sent_at,
                store_lost=self._health.is_lost,
                maps_term=self._maps.version[0],
                maps_number=self._maps.version[1],
                vote=self._votes.give(link, now),
                resigned_term=self._lease.own_resigned_term(now),
            )
        )

    @callback
    def _take_heartbeat(self, link: PeerLink, heartbeat: Item) -> None:
        """Take a heartbeat."""
        link.heartbeat = heartbeat
        if heartbeat.vote:
            self._votes.take(link, heartbeat.echo)
        lease = self._lease
        lease.resigned_term = max(lease.resigned_term, heartbeat.resigned_term)
        if heartbeat.term > self._leader.term:
            self._leader = LeaseRecord(
                holder=heartbeat.leader,
                peer=heartbeat.leader_peer,
                term=heartbeat.term,
                renewal=0,
            )

    @callback
    def _take_hello(self, link: PeerLink, hello: Item) -> None:
        """Learn who is at the other side, and give it what it needs."""
        link.incarnation = hello.incarnation
        link.peer = hello.peer
        link.strength = hello.strength
        self._permits.note_link(link)
        log_message(
            message_type="peer_linked",
            peer=link.incarnation,
            outgoing=link.is_outgoing,
        )
        if link.is_outgoing:
            return
        self._give_maps(link)
        if self._permits.issuers.number:
            link.send(encode_issuers(self._permits.issuers))

    @callback
    def _report_suspect(self, fingerprint: int, target: str) -> None:
        """Tell the instance that assigns keys of a request that silenced a target."""
        link = self.links.outgoing_by_peer.get(self._leader.peer)
        if link is None:
            self._take_suspect(fingerprint, target)
            return
        suspect = pb.Suspect(fingerprint=fingerprint, target=target)
        link.send(pb.Item(suspect=suspect))

    @callback
    def _take_suspect(self, fingerprint: int, target: str) -> None:
        """Count a silenced target."""
        self._poison.note_silenced(fingerprint, target, suspend_aware_now())

    @callback
    def _tell_quarantine(self, fingerprint: int) -> None:
        """Tell everyone which request to refuse."""
        verdict = pb.Quarantine(fingerprints=[fingerprint])
        for link in self.links.incoming:
            link.send(pb.Item(quarantine=verdict))

    @callback
    def _take_map_change(self, link: PeerLink, change: Item) -> None:
        """Take what changed of a map; ask for the whole when one was missed."""
        known = self._maps.maps_by_service.get(change.service)
        if known is None or (known.term, known.number + 1) != (
            change.term,
            change.number,
        ):
            if known is None or (known.term, known.number) < (
                change.term,
                change.number,
            ):
                link.send(pb.Item(key_map_ask=pb.KeyMapAsk()))
            return
        self._maps.adopt(known.with_changes(decode_owner_changes(change)))

    @callback
    def _give_maps(self, link: PeerLink) -> None:
        """Give all maps whole."""
        for key_map in self._maps.maps_by_service.values():
            link.send(encode_key_map(key_map))

    @callback
    def _take_issuers(self, issuers: PermitIssuers) -> None:
        """Take a list of issuers."""
        present = self._permits.issuers
        if (issuers.term, issuers.number) <= (present.term, present.number):
            return
        self._permits.issuers = issuers
        log_message(
            message_type="issuers_adopted",
            term=issuers.term,
            number=issuers.number,
            issuers=len(issuers.peers_by_incarnation),
            members=issuers.members,
        )

    @callback
    def _note_lost(self, link: PeerLink) -> None:
        """Give up on a link."""
        self._permits.note_lost(link)

    # What is kept up to date.

    @callback
    def _keep_links(self) -> None:
        """Keep links to the leader and the issuers; to seeds while neither is known."""
        wanted = {
            self._leader.peer,
            *self._permits.issuers.peers_by_incarnation.values(),
        }
        wanted.discard("")
        if not wanted:
            wanted = set(self._seeds)
        self.links.want(wanted)

    @callback
    def _keep_issuers(self) -> None:
        """Choose the instances that hand out permits, and tell everyone."""
        members = {self._incarnation: (self._strength, self._own_peer)}
        for link in self.links.live_links():
            if link.is_outgoing or link.heartbeat is None or link.heartbeat.stopping:
                continue
            members[link.incarnation] = (link.strength, link.peer)
        if self._lifecycle.leaving:
            del members[self._incarnation]
        strengths = {name: strength for name, (strength, _) in members.items()}
        self._lease.members = tuple(
            name.partition("/")[0] for name in by_strength(strengths)[:MOST_CANDIDATES]
        )
        present = self._permits.issuers
        chosen = choose_issuers(
            strengths,
            present=present.peers_by_incarnation,
            assigner=self._incarnation,
            targets=len(self._directory.targets_by_id),
        )
        issuers = {name: members[name][1] for name in chosen}
        is_same = issuers == present.peers_by_incarnation and (
            abs(len(members) - present.members) <= len(members) // MEMBERS_CHANGE
        )
        if is_same and present.term == self._lease.term:
            return
        self._issuers_number += 1
        self._permits.issuers = PermitIssuers(
            term=self._lease.term,
            number=self._issuers_number,
            peers_by_incarnation=issuers,
            members=len(members),
        )
        item = encode_issuers(self._permits.issuers)
        for link in self.links.incoming:
            link.send(item)

    @callback
    def _report(self, report: LoadReport) -> None:
        """Tell the instance that assigns keys what was asked for here."""
        if not report.counts_by_service and not report.seconds_by_target:
            return
        item = encode_load(report)
        if self._lease.is_held(suspend_aware_now()):
            self.on_load(item.load)
            return
        link = self.links.outgoing_by_peer.get(self._leader.peer)
        if link is not None:
            link.send(item)


@callback
def report_pause(members: int) -> float:
    """Return the seconds between two reports of an instance."""
    return TICK * max(1.0, members / REPORTERS)


@callback
def _follows(key_map: KeyMap, before: KeyMap) -> bool:
    """Return whether a map is the next one after another."""
    return (key_map.term, key_map.number) == (before.term, before.number + 1)


@callback
def _ignore(load: Item) -> None:
    """Do nothing."""
