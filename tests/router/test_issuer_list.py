"""Tests of the list of permit issuers."""

from __future__ import annotations

from types import SimpleNamespace
from typing import cast

from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.gateway.lifecycle import Lifecycle
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.permits.permit_broker import PermitBroker
from swiftpin.permits.permit_issuers import NO_ISSUERS, PermitIssuers
from swiftpin.router.fleet_size import MAX_HOLDER_SILENCE
from swiftpin.router.issuer_list import IssuerList
from swiftpin.router.watch_duty import (
    CONFIGURATION_WATCHERS,
    choose_configuration_watchers,
)
from tests.router.fleet_fakes import FakeLink, make_links

TERM = 5
NOW = 100.0


class Holder:
    """The issuer list of a lease holder and the fakes it depends on."""

    def __init__(self, *links: FakeLink, targets: int = 0) -> None:
        self.lease = SimpleNamespace(term=TERM, members=())
        self.permits = SimpleNamespace(issuers=NO_ISSUERS)
        self.lifecycle = Lifecycle()
        self.issuer_list = IssuerList(
            incarnation="own/1",
            own_peer="own:1",
            cpu_capacity=1.0,
            links=make_links(*links),
            lease=cast(LeaseElection, self.lease),
            permits=cast(PermitBroker, self.permits),
            directory=cast(
                TargetDirectory,
                SimpleNamespace(targets_by_id=dict.fromkeys(range(targets))),
            ),
            lifecycle=self.lifecycle,
        )

    @property
    def issuer_names(self) -> set[str]:
        """Return the selected issuers."""
        return set(self.permits.issuers.peers_by_incarnation)


def test_unchanged_list_is_published_once() -> None:
    """All members receive a new list; an unchanged list is not sent again."""
    link = FakeLink("a")
    holder = Holder(link)
    holder.issuer_list.update(NOW)
    holder.issuer_list.update(NOW)
    assert holder.issuer_names == {"own/1", "a/1"}
    (item,) = link.sent
    assert (item.issuers.term, item.issuers.members) == (TERM, 2)
    assert set(holder.lease.members) == {"own", "a"}


def test_stopping_instances_are_not_issuers() -> None:
    """When an issuer stops, the permits of its targets are lost."""
    holder = Holder(FakeLink("a"), FakeLink("b", stopping=True))
    holder.issuer_list.update(NOW)
    assert holder.issuer_names == {"own/1", "a/1"}
    holder.lifecycle.leaving = True
    holder.issuer_list.update(NOW)
    assert holder.issuer_names == {"a/1"}


def test_stopping_instances_are_counted() -> None:
    """Guards against reuse of the shares of stopping instances that still send."""
    holder = Holder(FakeLink("a"), FakeLink("b", stopping=True))
    holder.lifecycle.leaving = True
    holder.issuer_list.update(NOW)
    assert holder.permits.issuers.members == 3


def test_disconnected_instances_are_counted_for_a_while() -> None:
    """Guards against reuse of the share of a disconnected instance that still sends."""
    links = [FakeLink(f"m-{number}") for number in range(7)]
    holder = Holder(*links)
    holder.issuer_list.update(NOW)
    announced = holder.permits.issuers.members
    holder.issuer_list._links = make_links()
    holder.issuer_list.update(NOW + MAX_HOLDER_SILENCE)
    assert holder.permits.issuers.members == announced
    holder.issuer_list.update(NOW + MAX_HOLDER_SILENCE + 0.1)
    assert holder.permits.issuers.members == 1


def test_every_member_is_counted() -> None:
    """Guards against an added member that is missing from the announced count."""
    links = [FakeLink(f"m-{number}") for number in range(7)]
    holder = Holder(*links)
    holder.issuer_list.update(NOW)
    for number in range(7, 20):
        links.append(FakeLink(f"m-{number}"))
        holder.issuer_list._links = make_links(*links)
        holder.issuer_list.update(NOW)
        assert holder.permits.issuers.members > len(links)


def test_unchanged_list_is_published_again_in_a_new_term() -> None:
    """Members use only the list of the newest term."""
    link = FakeLink("a")
    holder = Holder(link)
    holder.issuer_list.update(NOW)
    holder.lease.term += 1
    holder.issuer_list.update(NOW)
    assert [item.issuers.term for item in link.sent] == [TERM, TERM + 1]


def test_older_list_is_not_adopted() -> None:
    """A list that arrives after a newer one is ignored."""
    holder = Holder()
    for number, name in ((2, "new/1"), (1, "old/1")):
        holder.issuer_list.adopt(
            PermitIssuers(
                term=TERM, number=number, peers_by_incarnation={name: ""}, members=1
            )
        )
    assert holder.issuer_names == {"new/1"}


def test_issuers_that_lost_the_store_do_not_watch_it() -> None:
    """Guards against a whole fleet that watches a store lost by its watchers."""
    names = [f"strong-{number}" for number in range(CONFIGURATION_WATCHERS + 1)]
    links = [FakeLink(name) for name in names]
    for link in links:
        link.cpu_capacity = 4.0
    holder = Holder(*links, targets=100)
    holder.issuer_list.update(NOW)
    lost = links[0]
    assert lost.heartbeat is not None
    assert lost.incarnation in choose_configuration_watchers(
        holder.permits.issuers.peers_by_incarnation
    )
    lost.heartbeat.store_lost = True
    holder.issuer_list.update(NOW)
    issuers = holder.permits.issuers.peers_by_incarnation
    assert lost.incarnation not in choose_configuration_watchers(issuers)
    assert len(links[1].sent) == 2
