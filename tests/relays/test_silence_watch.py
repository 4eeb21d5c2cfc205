"""Tests of the detection of open connections that carry no answers."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest

from swiftpin.relays.silence_watch import (
    ALL_SILENT_TIME,
    MAX_PROBES,
    PROBE_INTERVAL,
    TARGET_SILENT_TIME,
    OpenExchange,
    SilenceWatch,
)
from swiftpin.relays.target_links import TargetLinks


@dataclass
class Watched:
    """A watch, its links, and the targets whose requests were notified."""

    links: TargetLinks = field(default_factory=TargetLinks)
    silent: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.watch = SilenceWatch(self.links)

    def send(self, target: str, now: float) -> OpenExchange:
        """Write a request to a target."""
        exchange = OpenExchange(
            target=target,
            written_at=now,
            on_silent=lambda: self.silent.append(target),
        )
        self.watch.begin(exchange)
        return exchange


@pytest.fixture(name="watched")
def watched_fixture() -> Watched:
    """Return a watch without requests."""
    return Watched()


def test_several_silent_targets_are_suspected_soon(watched: Watched) -> None:
    """Nothing answers an instance that is cut off."""
    watched.send("a", 10.0)
    watched.send("b", 10.1)
    assert watched.watch.take_suspects(10.1 + ALL_SILENT_TIME - 0.01) == []
    assert watched.watch.take_suspects(10.1 + ALL_SILENT_TIME) == ["a", "b"]


def test_slow_targets_are_not_suspected_while_others_answer(watched: Watched) -> None:
    """Probes of healthy links would cost connections."""
    watched.send("a", 10.0)
    watched.send("b", 10.0)
    watched.watch.record_answer("c", 10.2)
    assert watched.watch.take_suspects(10.0 + ALL_SILENT_TIME) == []


def test_one_silent_target_is_suspected_later(watched: Watched) -> None:
    """A cut may cover one target only, and single requests take long."""
    watched.send("a", 10.0)
    watched.watch.record_answer("c", 10.7)
    assert watched.watch.take_suspects(10.0 + TARGET_SILENT_TIME - 0.01) == []
    assert watched.watch.take_suspects(10.0 + TARGET_SILENT_TIME) == ["a"]
    assert watched.watch.take_suspects(10.9) == []


def test_probes_are_bounded_and_take_turns(watched: Watched) -> None:
    """An instance of a large fleet has links to hundreds of targets."""
    targets = [f"t{number:02}" for number in range(MAX_PROBES + 2)]
    first = watched.watch.take_due(targets, 10.0)
    second = watched.watch.take_due(targets, 10.0 + PROBE_INTERVAL)
    assert first == targets[:MAX_PROBES]
    assert second[:2] == targets[MAX_PROBES:]


def lose(watched: Watched, target: str, now: float) -> None:
    """Let two probes of a target fail."""
    for began_at in (now - 0.2, now):
        watched.links.record_failure(target, "timeout", now)
        watched.watch.handle_failed_probe(target, began_at, now)


def test_request_on_a_lost_link_is_notified_once_others_reach_the_target(
    watched: Watched,
) -> None:
    """A target that is down for all keeps its requests until their deadlines."""
    watched.send("a", 10.0)
    lose(watched, "a", 10.9)
    watched.watch.notify_silent(11.0)
    assert watched.silent == []
    watched.links.record_relayed("a", 11.0)
    watched.watch.notify_silent(11.0)
    watched.watch.notify_silent(11.1)
    assert watched.silent == ["a"]


def test_open_connection_with_answers_is_not_silent_when_probes_fail(
    watched: Watched,
) -> None:
    """Open connections may work while new ones are refused."""
    watched.send("a", 10.0)
    watched.watch.record_answer("a", 10.85)
    watched.links.record_answer("a", 10.85)
    lose(watched, "a", 10.8)
    watched.links.record_relayed("a", 11.0)
    watched.watch.notify_silent(11.0)
    assert watched.silent == []
