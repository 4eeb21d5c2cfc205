"""Tests of the queue for a target's slots: which requests get them."""

from __future__ import annotations

from tests.permits.requester import Requester, make_target


def test_running_requests_do_not_exceed_the_slots(requester: Requester) -> None:
    """The second request for a target with one slot waits for the first."""
    first, second = requester.submit("a"), requester.submit("a")
    assert requester.decisions_by_number[first].target == "a"
    assert second not in requester.decisions_by_number
    requester.release(first)
    assert requester.decisions_by_number[second].target == "a"


def test_more_urgent_requests_go_first(requester: Requester) -> None:
    """Priority decides between equal objectives; late requests are served last."""
    running = requester.submit("a")
    late = requester.submit("a", objective_at=0.05)
    soon = requester.submit("a", objective_at=0.8)
    urgent = requester.submit("a", priority=0, objective_at=0.8)
    order = []
    for _ in range(3):
        requester.release(running)
        (running,) = (
            n
            for n in (late, soon, urgent)
            if n in requester.decisions_by_number and n not in order
        )
        order.append(running)
    assert order == [urgent, soon, late]


def test_lost_instance_frees_its_slots(requester: Requester) -> None:
    """Guards against an idle target while requests wait for it.

    An instance that holds a permit is killed and never releases it.
    """
    requester.submit("a", requester_id="lost")
    waiting = requester.submit("a")
    requester.queue.release_all("lost", 0.2)
    assert requester.decisions_by_number[waiting].target == "a"


def test_withdrawn_requests_get_no_permit(requester: Requester) -> None:
    """Guards against granting a slot to a caller that has left."""
    running = requester.submit("a")
    waiting = requester.submit("a")
    requester.release(waiting)
    requester.release(running)
    assert waiting not in requester.decisions_by_number


def test_unkeyed_requests_prefer_their_zone_and_avoid_failed_targets(
    requester: Requester,
) -> None:
    """A target in the same zone comes first, one that just failed last."""
    near = requester.submit("", zone="z2")
    assert requester.decisions_by_number[near].target == "b"
    requester.release(near)
    other = requester.submit("", zone="z2", avoided="b")
    assert requester.decisions_by_number[other].target == "a"


def test_requests_for_a_removed_target_are_rejected_at_once(
    requester: Requester,
) -> None:
    """Guards against callers that wait until their end for a removed target.

    A request waits for a target with one slot when the target is removed.
    """
    requester.submit("a")
    waiting = requester.submit("a")
    requester.queue.set_targets([make_target("b", zone="z2")], 0.1)
    assert requester.is_rejected(waiting)


def test_removed_targets_are_forgotten(requester: Requester) -> None:
    """Guards against memory that grows with each target life.

    A target restarts repeatedly, each time as another life, and runs requests. Some
    requests for it arrive after it has terminated.
    """
    for life in range(50):
        name = f"a@{life}"
        requester.queue.set_targets([make_target(name)], life)
        running = requester.submit(name, now=life, ends_at=life + 2.0)
        requester.queue.set_targets([], life + 0.1)
        requester.release(running, now=life + 0.2)
        requester.release(
            requester.submit(name, now=life + 0.2, ends_at=life + 2.0), now=life + 0.3
        )
        requester.queue.expire(life + 0.5)
    assert not requester.queue._slots_by_target


def test_next_life_of_a_target_has_all_its_slots(requester: Requester) -> None:
    """Guards against an idle target after a restart.

    A target terminates while it runs a request and restarts under the same name. The
    lost request must not occupy a slot of the new life.
    """
    requester.queue.set_targets([make_target("a@1")], 0.0)
    requester.submit("a@1")
    requester.queue.set_targets([make_target("a@2")], 0.1)
    assert requester.is_granted(requester.submit("a@2", now=0.1))


def test_leaving_targets_only_serve_their_keys(requester: Requester) -> None:
    """Requests for keys of a leaving target still use all its slots."""
    leaving = make_target("a", slots=2)
    requester.queue.set_targets([make_target("b", zone="z2")], 0.0, leaving=[leaving])
    assert all(requester.is_granted(requester.submit("a")) for _ in range(2))
    requester.submit("b")
    waiting = requester.submit("")
    assert waiting not in requester.decisions_by_number
    requester.queue.set_targets([make_target("b", zone="z2")], 0.1, leaving=[])
    assert waiting not in requester.decisions_by_number


def test_target_without_slots_causes_no_error(requester: Requester) -> None:
    """Guards against a crash of the issuer, which loses all its permits.

    A target registers with 0 slots, so there is no running request whose end could be
    awaited by a request without a key.
    """
    targets = [make_target("a", slots=0), make_target("b")]
    requester.queue.set_targets(targets, 0.0)
    requester.submit("b")
    waiting = requester.submit("")
    assert waiting not in requester.decisions_by_number
