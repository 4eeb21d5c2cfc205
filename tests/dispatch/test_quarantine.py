"""Tests of the quarantine for requests that crash targets."""

from __future__ import annotations

import pytest

from swiftpin.dispatch.quarantine import LIFETIME, Quarantine
from swiftpin.dispatch.quarantine_verdict import QuarantineVerdict
from swiftpin.dispatch.run_ending import RunEnding
from swiftpin.exceptions import (
    QuarantinedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from tests.dispatch.conftest import WALL, FakeClock
from tests.dispatch.fake_store import FakeStore


def make(store: FakeStore, *, exclusive: bool = True) -> Quarantine:
    """Return an empty quarantine."""
    return Quarantine(store, "desk", exclusive=exclusive, wall=WALL)


def crash(
    quarantine: Quarantine, clock: FakeClock, death: str, *fingerprints: str
) -> None:
    """Let a target die with requests in flight; their connections break first."""
    runs = [quarantine.begin("t1", name, f"POST /{name}") for name in fingerprints]
    for run in runs:
        quarantine.end(run, RunEnding.BROKEN, clock.now)
    clock.now += 1.0
    quarantine.target_died("t1", death, clock.now)


def test_crashing_request(store: FakeStore, clock: FakeClock) -> None:
    """One request takes down every target that runs it.

    Its caller sends it again each time. After the first death it runs alone, after
    the second one it is refused.
    """
    quarantine = make(store)
    assert quarantine.check("bad") is QuarantineVerdict.CLEAR
    crash(quarantine, clock, "boot-1", "bad")
    assert quarantine.check("bad") is QuarantineVerdict.ISOLATE
    crash(quarantine, clock, "boot-2", "bad")
    with pytest.raises(QuarantinedError):
        quarantine.check("bad")


def test_innocent_beside_it(store: FakeStore, clock: FakeClock) -> None:
    """A booking is refused because it was in flight beside the one that crashes.

    Both are suspected at first; the innocent one is cleared by one answer.
    """
    quarantine = make(store)
    crash(quarantine, clock, "boot-1", "bad", "good")
    crash(quarantine, clock, "boot-2", "bad", "good")
    assert quarantine.check("good") is QuarantineVerdict.ISOLATE
    run = quarantine.begin("t1", "good", "POST /good")
    quarantine.end(run, RunEnding.ANSWERED, clock.now)
    assert quarantine.check("good") is QuarantineVerdict.CLEAR
    crash(quarantine, clock, "boot-3", "bad")
    assert [entry.label for entry in quarantine.entries] == ["POST /bad"]


def test_not_run(store: FakeStore, clock: FakeClock) -> None:
    """A refusal by the target neither clears nor accuses."""
    quarantine = make(store)
    crash(quarantine, clock, "boot-1", "bad")
    run = quarantine.begin("t1", "bad", "")
    quarantine.end(run, RunEnding.NOT_RUN, clock.now)
    quarantine.target_died("t1", "boot-2", clock.now)
    assert quarantine.check("bad") is QuarantineVerdict.ISOLATE


def test_broken_long_before(store: FakeStore, clock: FakeClock) -> None:
    """An answer that broke off long before a death accuses nobody."""
    quarantine = make(store)
    run = quarantine.begin("t1", "good", "")
    quarantine.end(run, RunEnding.BROKEN, clock.now)
    quarantine.target_died("t1", "boot-1", clock.now + 60.0)
    assert quarantine.check("good") is QuarantineVerdict.CLEAR


def test_shared_targets(store: FakeStore, clock: FakeClock) -> None:
    """Where others send too, nobody is known to be alone: three deaths condemn."""
    quarantine = make(store, exclusive=False)
    crash(quarantine, clock, "boot-1", "bad")
    crash(quarantine, clock, "boot-2", "bad")
    assert quarantine.check("bad") is QuarantineVerdict.ISOLATE
    crash(quarantine, clock, "boot-3", "bad")
    with pytest.raises(QuarantinedError):
        quarantine.check("bad")


def test_three_at_once(store: FakeStore, clock: FakeClock) -> None:
    """Of three requests in flight none counts as alone, also not the first."""
    quarantine = make(store)
    crash(quarantine, clock, "boot-1", "first", "second", "third")
    crash(quarantine, clock, "boot-2", "first", "second", "third")
    for name in ("first", "second", "third"):
        assert quarantine.check(name) is QuarantineVerdict.ISOLATE


async def test_suspicion_travels(store: FakeStore, clock: FakeClock) -> None:
    """The next holder lets a request crash its targets twice again."""
    first, second = make(store), make(store)
    crash(first, clock, "boot-1", "bad")
    crash(second, clock, "boot-9", "other")
    await first.async_sync(clock.now)
    await second.async_sync(clock.now)
    await first.async_sync(clock.now)
    for quarantine in (first, second):
        assert quarantine.check("bad") is QuarantineVerdict.ISOLATE
        assert quarantine.check("other") is QuarantineVerdict.ISOLATE
    crash(second, clock, "boot-2", "bad")
    with pytest.raises(QuarantinedError):
        second.check("bad")


async def test_operator_clears(store: FakeStore, clock: FakeClock) -> None:
    """An operator's clearing reaches the holder, and later deaths count anew."""
    holder, operator = make(store), make(store)
    crash(holder, clock, "boot-1", "bad")
    crash(holder, clock, "boot-2", "bad")
    await holder.async_sync(clock.now)
    await operator.async_sync(clock.now)
    assert operator.clear("bad", clock.now)
    assert not operator.clear("unknown", clock.now)
    await operator.async_sync(clock.now)
    await holder.async_sync(clock.now)
    assert holder.check("bad") is QuarantineVerdict.CLEAR
    crash(holder, clock, "boot-3", "bad")
    assert holder.check("bad") is QuarantineVerdict.ISOLATE


@pytest.mark.parametrize("fault", ["down", "lost"])
async def test_store_faults(store: FakeStore, clock: FakeClock, fault: str) -> None:
    """A death is lost, or counts twice, when the store fails during the write."""
    quarantine = make(store)
    crash(quarantine, clock, "boot-1", "bad")
    store.down = fault == "down"
    store.lost_answers = int(fault == "lost")
    with pytest.raises((StoreUnavailableError, StoreOutcomeUnknownError)):
        await quarantine.async_sync(clock.now)
    assert quarantine.needs_sync
    store.down = False
    await quarantine.async_sync(clock.now)
    assert not quarantine.needs_sync
    heir = make(store)
    await heir.async_sync(clock.now)
    assert heir.check("bad") is QuarantineVerdict.ISOLATE


async def test_bounds(store: FakeStore, clock: FakeClock) -> None:
    """Entries are bounded, condemned ones are kept first, and all expire."""
    quarantine = make(store)
    crash(quarantine, clock, "boot-1", "bad")
    crash(quarantine, clock, "boot-2", "bad")
    for number in range(600):
        crash(quarantine, clock, f"boot-x{number}", f"f{number}")
    assert len(quarantine.entries) == 500
    with pytest.raises(QuarantinedError):
        quarantine.check("bad")
    await quarantine.async_sync(clock.now)
    clock.now += LIFETIME + 1.0
    await quarantine.async_sync(clock.now)
    assert quarantine.entries == ()
