"""Tests of the list of issuers."""

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


class Chooser:
    """The list at an instance that holds the lease, and what it works with."""

    def __init__(self, *links: FakeLink, targets: int = 0) -> None:
        self.lease = SimpleNamespace(term=TERM, members=())
        self.permits = SimpleNamespace(issuers=NO_ISSUERS)
        self.lifecycle = Lifecycle()
        self.list = IssuerList(
            incarnation="own/1",
            own_peer="own:1",
            strength=1.0,
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
    def chosen(self) -> set[str]:
        """Return the issuers."""
        return set(self.permits.issuers.peers_by_incarnation)


def test_list_goes_to_everyone_once() -> None:
    """A list that has not changed is not told again."""
    link = FakeLink("a")
    chooser = Chooser(link)
    chooser.list.update(NOW)
    chooser.list.update(NOW)
    assert chooser.chosen == {"own/1", "a/1"}
    (item,) = link.sent
    assert (item.issuers.term, item.issuers.members) == (TERM, 2)
    assert set(chooser.lease.members) == {"own", "a"}


def test_instances_that_leave_issue_nothing() -> None:
    """An issuer that ends takes the permits of its targets with it."""
    chooser = Chooser(FakeLink("a"), FakeLink("b", stopping=True))
    chooser.list.update(NOW)
    assert chooser.chosen == {"own/1", "a/1"}
    chooser.lifecycle.leaving = True
    chooser.list.update(NOW)
    assert chooser.chosen == {"a/1"}


def test_instances_that_leave_are_counted() -> None:
    """Failure: the shares of instances that ended, and still sent, were given away."""
    chooser = Chooser(FakeLink("a"), FakeLink("b", stopping=True))
    chooser.lifecycle.leaving = True
    chooser.list.update(NOW)
    assert chooser.permits.issuers.members == 3


def test_instances_that_are_cut_off_are_counted_for_a_while() -> None:
    """Failure: the share of one that was cut off, and still sent, was given away."""
    links = [FakeLink(f"m-{number}") for number in range(7)]
    chooser = Chooser(*links)
    chooser.list.update(NOW)
    told = chooser.permits.issuers.members
    chooser.list._links = make_links()
    chooser.list.update(NOW + MAX_HOLDER_SILENCE)
    assert chooser.permits.issuers.members == told
    chooser.list.update(NOW + MAX_HOLDER_SILENCE + 0.1)
    assert chooser.permits.issuers.members == 1


def test_every_member_is_counted() -> None:
    """Failure: one member more in eight was told to nobody."""
    links = [FakeLink(f"m-{number}") for number in range(7)]
    chooser = Chooser(*links)
    chooser.list.update(NOW)
    for number in range(7, 20):
        links.append(FakeLink(f"m-{number}"))
        chooser.list._links = make_links(*links)
        chooser.list.update(NOW)
        assert chooser.permits.issuers.members > len(links)


def test_list_of_a_new_term_is_told_even_if_it_is_the_same() -> None:
    """Members keep to the list of the newest term only."""
    link = FakeLink("a")
    chooser = Chooser(link)
    chooser.list.update(NOW)
    chooser.lease.term += 1
    chooser.list.update(NOW)
    assert [item.issuers.term for item in link.sent] == [TERM, TERM + 1]


def test_older_list_is_not_taken() -> None:
    """A list that was overtaken on its way changes nothing."""
    chooser = Chooser()
    for number, name in ((2, "new/1"), (1, "old/1")):
        chooser.list.adopt(
            PermitIssuers(
                term=TERM, number=number, peers_by_incarnation={name: ""}, members=1
            )
        )
    assert chooser.chosen == {"new/1"}


def test_issuers_that_lost_the_store_do_not_watch_it() -> None:
    """A whole fleet called a store that had turned its few watchers away."""
    names = [f"strong-{number}" for number in range(CONFIGURATION_WATCHERS + 1)]
    links = [FakeLink(name) for name in names]
    for link in links:
        link.cpu_capacity = 4.0
    chooser = Chooser(*links, targets=100)
    chooser.list.update(NOW)
    lost = links[0]
    assert lost.heartbeat is not None
    assert lost.incarnation in choose_configuration_watchers(
        chooser.permits.issuers.peers_by_incarnation
    )
    lost.heartbeat.store_lost = True
    chooser.list.update(NOW)
    issuers = chooser.permits.issuers.peers_by_incarnation
    assert lost.incarnation not in choose_configuration_watchers(issuers)
    assert len(links[1].sent) == 2
