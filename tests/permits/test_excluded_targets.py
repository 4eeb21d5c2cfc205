"""Tests of permits for instances that must not call some targets."""

from __future__ import annotations

from tests.permits.requester import Requester, make_target

NO_A = frozenset({"a"})


def test_excluded_target_is_never_granted(requester: Requester) -> None:
    """Guards against permits that are given back unused again and again."""
    first = requester.submit("", excluded=NO_A)
    waiting = requester.submit("", excluded=NO_A)
    assert requester.decisions_by_number[first].target == "b"
    assert waiting not in requester.decisions_by_number
    requester.release(first)
    assert requester.decisions_by_number[waiting].target == "b"


def test_others_get_what_an_instance_leaves_out(requester: Requester) -> None:
    """Guards against a request that can't use a free target and blocks the others."""
    running = requester.submit("", excluded=NO_A)
    blocked = requester.submit("", excluded=NO_A, objective_at=0.5)
    assert requester.decisions_by_number[running].target == "b"
    other = requester.submit("", requester_id="i2")
    assert requester.decisions_by_number[other].target == "a"
    behind = requester.submit("", requester_id="i2")
    requester.release(other, requester_id="i2")
    assert requester.decisions_by_number[behind].target == "a"
    assert blocked not in requester.decisions_by_number


def test_request_without_any_target_is_rejected_at_once(requester: Requester) -> None:
    """Guards against requests that wait until their deadline for no target."""
    number = requester.submit("", excluded=frozenset({"a", "b"}))
    assert requester.is_rejected(number)
    assert requester.decisions_by_number[number].retry_after > 0


def test_owner_of_a_key_is_granted_although_others_are_excluded(
    requester: Requester,
) -> None:
    """Guards against keyed requests that are held to the state of other targets."""
    number = requester.submit("b", excluded=NO_A)
    assert requester.decisions_by_number[number].target == "b"


def test_request_waits_for_a_replacement_of_lost_targets(
    requester: Requester,
) -> None:
    """Guards against rejections while the only target of a service restarts."""
    requester.queue.set_targets([], 0.0)
    number = requester.submit("", objective_at=3.0, ends_at=5.0)
    assert not requester.is_rejected(number)
    requester.queue.set_targets([make_target("c")], 1.0)
    assert requester.decisions_by_number[number].target == "c"
