"""Tests of the choice among targets without owners."""

from __future__ import annotations

from collections import Counter
from random import Random

from swiftpin.dispatch.balancer import TargetBalancer

TARGETS = ("t1", "t2", "t3", "t4")


def draw(balancer: TargetBalancer, now: float, count: int = 1000) -> Counter[str]:
    """Return how often each target is chosen."""
    return Counter(
        target
        for _ in range(count)
        if (target := balancer.choose_target(TARGETS, now)) is not None
    )


def fail(balancer: TargetBalancer, target: str, now: float, count: int = 5) -> None:
    """Let requests to a target fail."""
    for _ in range(count):
        balancer.start(target)
        balancer.end(target, latency=None, failed=True, now=now)


def test_in_flight() -> None:
    """Requests spread evenly while none has ended."""
    balancer = TargetBalancer(Random(1))
    for _ in range(100):
        target = balancer.choose_target(TARGETS, 0.0)
        assert target is not None
        balancer.start(target)
    assert max(balancer.in_flight(target) for target in TARGETS) <= 28


def test_latency() -> None:
    """A slow target gets less; it is tried again when its estimate has faded."""
    balancer = TargetBalancer(Random(1))
    for target in TARGETS:
        balancer.start(target)
        latency = 0.5 if target == "t1" else 0.01
        balancer.end(target, latency=latency, failed=False, now=0.0)
    assert draw(balancer, 0.0)["t1"] == 0
    assert draw(balancer, 120.0)["t1"] > 200


def test_ejection() -> None:
    """A target that fails quickly attracts all requests.

    It refuses connections at once, so it always has least in flight.
    """
    balancer = TargetBalancer(Random(1))
    fail(balancer, "t1", 0.0)
    assert draw(balancer, 1.0)["t1"] == 0
    assert draw(balancer, 6.0)["t1"] > 0


def test_pool_is_never_empty() -> None:
    """A fault on our side ejects every target, and nothing is sent any more."""
    balancer = TargetBalancer(Random(1))
    for target in TARGETS:
        fail(balancer, target, 0.0)
    assert len(draw(balancer, 1.0)) >= 2
    assert balancer.choose_target((), 1.0) is None
    assert balancer.choose_target(("t1",), 1.0) == "t1"


def test_probe_alone() -> None:
    """A failed probe makes a target less likely, and does not eject it."""
    balancer = TargetBalancer(Random(1))
    balancer.record_probe("t1", failed=True)
    assert draw(balancer, 0.0)["t1"] == 0
    for target in TARGETS[1:]:
        for _ in range(5):
            balancer.start(target)
    assert draw(balancer, 0.0)["t1"] > 0
    fail(balancer, "t1", 0.0, count=2)
    assert draw(balancer, 0.0)["t1"] == 0
