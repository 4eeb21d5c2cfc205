"""Tests of the queue for a target's slots: who gets them."""

from __future__ import annotations

from tests.permits.asker import Asker, make_target


def test_no_more_run_than_there_are_slots(asker: Asker) -> None:
    """The second request for a target with one slot waits for the first."""
    first, second = asker.ask("a"), asker.ask("a")
    assert asker.decisions_by_number[first].target == "a"
    assert second not in asker.decisions_by_number
    asker.end(first)
    assert asker.decisions_by_number[second].target == "a"


def test_more_urgent_requests_go_first(asker: Asker) -> None:
    """Of those with one objective; those that can't make theirs go last."""
    running = asker.ask("a")
    late = asker.ask("a", objective_at=0.05)
    soon = asker.ask("a", objective_at=0.8)
    urgent = asker.ask("a", priority=0, objective_at=0.8)
    order = []
    for _ in range(3):
        asker.end(running)
        (running,) = (
            n
            for n in (late, soon, urgent)
            if n in asker.decisions_by_number and n not in order
        )
        order.append(running)
    assert order == [urgent, soon, late]


def test_lost_instance_frees_its_slots(asker: Asker) -> None:
    """Symptom: a target idles while requests wait for it.

    Sequence: an instance got a permit and was killed; the permit never came back.
    Cause: permits outlived the link over which they were given.
    """
    asker.ask("a", asker="lost")
    waiting = asker.ask("a")
    asker.queue.release_all("lost", 0.2)
    assert asker.decisions_by_number[waiting].target == "a"


def test_withdrawn_requests_get_nothing(asker: Asker) -> None:
    """A caller that left takes no slot later."""
    running = asker.ask("a")
    waiting = asker.ask("a")
    asker.end(waiting)
    asker.end(running)
    assert waiting not in asker.decisions_by_number


def test_unkeyed_requests_stay_in_their_zone_and_avoid_failures(asker: Asker) -> None:
    """Any target will do: a near one first, one that just failed last."""
    near = asker.ask("", zone="z2")
    assert asker.decisions_by_number[near].target == "b"
    asker.end(near)
    other = asker.ask("", zone="z2", avoided="b")
    assert asker.decisions_by_number[other].target == "a"


def test_requests_for_a_target_that_is_gone_are_rejected_at_once(asker: Asker) -> None:
    """Symptom: callers wait to their end for a target that is gone.

    Sequence: a request waits for a target with one slot; the target ends.
    Cause: the queue took new targets and never learned which were gone.
    """
    asker.ask("a")
    waiting = asker.ask("a")
    asker.queue.set_targets([make_target("b", zone="z2")], 0.1)
    assert asker.is_rejected(waiting)


def test_targets_that_come_and_go_leave_nothing(asker: Asker) -> None:
    """Symptom: the memory of an instance grows by a little with each target.

    Sequence: a target starts again and again, each time as another life, runs requests
    and ends; some requests come for it after its end.
    Cause: the use of its slots was kept for ever.
    """
    for life in range(50):
        name = f"a@{life}"
        asker.queue.set_targets([make_target(name)], life)
        running = asker.ask(name, now=life, ends_at=life + 2.0)
        asker.queue.set_targets([], life + 0.1)
        asker.end(running, now=life + 0.2)
        asker.end(asker.ask(name, now=life + 0.2, ends_at=life + 2.0), now=life + 0.3)
        asker.queue.expire(life + 0.5)
    assert not asker.queue._slots_by_target


def test_next_life_has_all_its_slots(asker: Asker) -> None:
    """Symptom: a target that started again idles.

    Sequence: a target ends while it runs a request and starts again under its name.
    Cause: its slots were counted for the name, and the lost request held one.
    """
    asker.queue.set_targets([make_target("a@1")], 0.0)
    asker.ask("a@1")
    asker.queue.set_targets([make_target("a@2")], 0.1)
    assert asker.is_granted(asker.ask("a@2", now=0.1))


def test_leaving_targets_serve_no_more_than_their_keys(asker: Asker) -> None:
    """Requests for keys that a leaving target owns go on, in all its slots."""
    leaving = make_target("a", slots=2)
    asker.queue.set_targets([make_target("b", zone="z2")], 0.0, leaving=[leaving])
    assert all(asker.is_granted(asker.ask("a")) for _ in range(2))
    asker.ask("b")
    waiting = asker.ask("")
    assert waiting not in asker.decisions_by_number
    asker.queue.set_targets([make_target("b", zone="z2")], 0.1, leaving=[])
    assert waiting not in asker.decisions_by_number


def test_target_without_slots_gives_no_error(asker: Asker) -> None:
    """Symptom: an issuer ends by itself, and all its permits with it.

    Sequence: a target registers with no slots; a request without a key comes.
    Cause: the soonest end was looked for among no running requests.
    """
    targets = [make_target("a", slots=0), make_target("b")]
    asker.queue.set_targets(targets, 0.0)
    asker.ask("b")
    waiting = asker.ask("")
    assert waiting not in asker.decisions_by_number
