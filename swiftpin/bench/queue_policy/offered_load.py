"""The requests that are offered to one target, from a seed."""

from __future__ import annotations

from random import Random
from typing import Final

from swiftpin.bench.queue_policy.offered_class import OfferedClass
from swiftpin.bench.queue_policy.offered_request import OfferedRequest

CLASSES: Final = (
    OfferedClass(name="booking", priority=0, share=0.2, service_time=0.05, timeout=2.0),
    OfferedClass(name="lookup", priority=1, share=0.6, service_time=0.02, timeout=1.0),
    OfferedClass(name="download", priority=2, share=0.2, service_time=0.3, timeout=5.0),
)
GREEDY_CALLER: Final = "greedy"
GREEDY_SHARE: Final = 0.5
OTHER_CALLERS: Final = 20


def offered_load(
    *, load: float, slots: int, duration: float, seed: int
) -> list[OfferedRequest]:
    """Return Poisson arrivals whose work is `load` times what the slots can do.

    One caller sends half of all requests, the rest comes from twenty others.
    """
    random = Random(seed)
    mean = sum(item.share * item.service_time for item in CLASSES)
    rate = load * slots / mean
    weights = [item.share for item in CLASSES]
    requests: list[OfferedRequest] = []
    at = random.expovariate(rate)
    while at < duration:
        offered_class = random.choices(CLASSES, weights)[0]
        requests.append(
            OfferedRequest(
                number=len(requests),
                at=at,
                work=random.expovariate(1 / offered_class.service_time),
                caller=_caller(random),
                offered_class=offered_class,
            )
        )
        at += random.expovariate(rate)
    return requests


def _caller(random: Random) -> str:
    """Return who sends a request."""
    if random.random() < GREEDY_SHARE:
        return GREEDY_CALLER
    return f"caller-{random.randrange(OTHER_CALLERS)}"
