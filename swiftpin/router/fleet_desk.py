"""What this instance and the others tell each other."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.fleet.link import Item, PeerLink
from swiftpin.fleet.links import FleetLinks
from swiftpin.fleet.messages import (
    LoadNews,
    decode_homes,
    decode_key_map,
    decode_owner_changes,
    encode_homes,
    encode_key_map,
    encode_key_map_change,
    encode_load,
)
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.gateway.lifecycle import Lifecycle
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.key_map import KeyMap
from swiftpin.keyranges.lease import LeaseKeeper
from swiftpin.keyranges.lease_record import LeaseRecord
from swiftpin.permits.home_choice import by_strength, choose_homes
from swiftpin.permits.permit_desk import PermitDesk
from swiftpin.permits.permit_homes import PermitHomes
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.fleet_news import FleetNews
from swiftpin.router.key_maps import KeyMaps
from swiftpin.router.pledges import Pledges
from swiftpin.router.poison_watch import PoisonWatch
from swiftpin.router.store_health import StoreHealth
from swiftpin.router.target_directory import TargetDirectory

TICK: Final = 0.2
"""Seconds between two looks at links, homes and reports."""

REPORTERS: Final = 36
"""Instances above which each reports its load less often, in proportion: the one that
assigns keys takes at most 180 reports a second, each about 0.4 ms of its time."""

LEADER_SILENCE: Final = 0.65
"""Seconds without a sign of life after which candidates begin to look at the lease;
with one beat late nothing is lost but some reads."""

MEMBERS_CHANGE: Final = 8
"""Part of the members whose coming or going is told to all: their number only shares
the budget of second sends out, and each list goes to everyone."""

MOST_CANDIDATES: Final = 16
"""Instances named in the lease; the record is written several times a second."""


class FleetDesk:
    """Keeps the links that are needed, and takes and gives what goes over them.

    Every member is linked to the instance that assigns keys, which hands out key maps
    and the list of homes, and to the homes, which hand out permits.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        own_peer: str,
        strength: float,
        seeds: tuple[str, ...],
        lease: LeaseKeeper,
        desk: PermitDesk,
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
        self._desk = desk
        self._maps = maps
        self._configuration = configuration
        self._directory = directory
        self._lifecycle = lifecycle
        self._health = health
        self._poison = poison
        poison.on_suspect = self._report_suspect
        poison.on_quarantine = self._tell_quarantine
        self._leader = LeaseRecord(holder="", peer="", term=0, beat=0)
        self._pledges = Pledges(links=self.links, lease=lease, health=health)
        self._home_number = 0
        self.news = FleetNews(
            incarnation=incarnation,
            links=self.links,
            lease=lease,
            desk=desk,
            maps=maps,
            configuration=configuration,
            directory=directory,
        )

    async def async_run(self, take_load: Callable[[], LoadNews]) -> None:
        """Keep links, homes and reports up to date until cancelled."""
        report_at = 0.0
        while True:
            now = suspend_aware_now()
            self._keep_links()
            if self._lease.is_held(now):
                self._keep_homes()
            self.news.ask()
            if now >= report_at:
                report_at = now + report_pause(self._desk.homes.members) - TICK / 2
                self._report(take_load())
            await asyncio.sleep(TICK)

    @callback
    def note_lease(self, record: LeaseRecord) -> None:
        """Take a record of the lease."""
        if (record.term, record.beat) >= (self._leader.term, self._leader.beat):
            self._leader = record

    @callback
    def is_heard(self, holder: str) -> bool:
        """Return whether the holder of the lease says that it still has it."""
        now = asyncio.get_running_loop().time()
        return any(
            link.incarnation == holder
            and link.beat is not None
            and link.beat.leads
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
                self._desk.handle_ask(link, item.ask)
            case "answer":
                self._desk.handle_answer(link, item.answer)
            case "end":
                self._desk.handle_end(link, item.end)
            case "beat":
                self._take_beat(link, item.beat)
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
            case "homes":
                self._take_homes(decode_homes(item.homes))
            case "hello":
                self._take_hello(link, item.hello)
            case "news_ask":
                self.news.give(link, item.news_ask)
            case "news":
                self.news.take(item.news)

    @callback
    def make_beat(self, link: PeerLink) -> Item:
        """Return the sign of life to send on a link."""
        now = suspend_aware_now()
        leader = self._leader
        return pb.Item(
            beat=pb.Beat(
                incarnation=self._incarnation,
                leads=self._lease.is_held(now),
                term=leader.term,
                leader=leader.holder,
                leader_peer=leader.peer,
                configuration=self._configuration.version,
                targets=self._directory.version,
                stopping=self._lifecycle.leaving,
                sent_at=now,
                echo=0.0 if link.beat is None else link.beat.sent_at,
                store_lost=self._health.is_lost,
                maps_term=self._maps.version[0],
                maps_number=self._maps.version[1],
                pledge=self._pledges.give(link, now),
                resigned_term=self._lease.own_resigned_term(now),
            )
        )

    @callback
    def _take_beat(self, link: PeerLink, beat: Item) -> None:
        """Take a sign of life."""
        link.beat = beat
        if beat.pledge:
            self._pledges.take(link, beat.echo)
        lease = self._lease
        lease.resigned_term = max(lease.resigned_term, beat.resigned_term)
        if beat.term > self._leader.term:
            self._leader = LeaseRecord(
                holder=beat.leader, peer=beat.leader_peer, term=beat.term, beat=0
            )

    @callback
    def _take_hello(self, link: PeerLink, hello: Item) -> None:
        """Learn who is at the other side, and give it what it needs."""
        link.incarnation = hello.incarnation
        link.peer = hello.peer
        link.strength = hello.strength
        self._desk.note_link(link)
        log_message(
            message_type="peer_linked",
            peer=link.incarnation,
            outgoing=link.is_outgoing,
        )
        if link.is_outgoing:
            return
        self._give_maps(link)
        if self._desk.homes.number:
            link.send(encode_homes(self._desk.homes))

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
    def _take_homes(self, homes: PermitHomes) -> None:
        """Take a list of homes."""
        present = self._desk.homes
        if (homes.term, homes.number) <= (present.term, present.number):
            return
        self._desk.homes = homes
        log_message(
            message_type="homes_adopted",
            term=homes.term,
            number=homes.number,
            homes=len(homes.peers_by_incarnation),
            members=homes.members,
        )

    @callback
    def _note_lost(self, link: PeerLink) -> None:
        """Give up on a link."""
        self._desk.note_lost(link)

    # What is kept up to date.

    @callback
    def _keep_links(self) -> None:
        """Keep links to the leader and the homes; to seeds while neither is known."""
        wanted = {self._leader.peer, *self._desk.homes.peers_by_incarnation.values()}
        wanted.discard("")
        if not wanted:
            wanted = set(self._seeds)
        self.links.want(wanted)

    @callback
    def _keep_homes(self) -> None:
        """Choose the instances that hand out permits, and tell everyone."""
        members = {self._incarnation: (self._strength, self._own_peer)}
        for link in self.links.live_links():
            if link.is_outgoing or link.beat is None or link.beat.stopping:
                continue
            members[link.incarnation] = (link.strength, link.peer)
        if self._lifecycle.leaving:
            del members[self._incarnation]
        strengths = {name: strength for name, (strength, _) in members.items()}
        self._lease.members = tuple(
            name.partition("/")[0] for name in by_strength(strengths)[:MOST_CANDIDATES]
        )
        present = self._desk.homes
        chosen = choose_homes(
            strengths,
            present=present.peers_by_incarnation,
            assigner=self._incarnation,
            targets=len(self._directory.targets_by_id),
        )
        homes = {name: members[name][1] for name in chosen}
        is_same = homes == present.peers_by_incarnation and (
            abs(len(members) - present.members) <= len(members) // MEMBERS_CHANGE
        )
        if is_same and present.term == self._lease.term:
            return
        self._home_number += 1
        self._desk.homes = PermitHomes(
            term=self._lease.term,
            number=self._home_number,
            peers_by_incarnation=homes,
            members=len(members),
        )
        item = encode_homes(self._desk.homes)
        for link in self.links.incoming:
            link.send(item)

    @callback
    def _report(self, news: LoadNews) -> None:
        """Tell the instance that assigns keys what was asked for here."""
        if not news.counts_by_service and not news.seconds_by_target:
            return
        item = encode_load(news)
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
