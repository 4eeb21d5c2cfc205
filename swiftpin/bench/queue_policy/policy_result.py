"""What one policy achieved at one load."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.bench.queue_policy.offered_load import GREEDY_CALLER
from swiftpin.bench.queue_policy.offered_request import OfferedRequest


@dataclass(frozen=True, kw_only=True, slots=True)
class PolicyResult:
    """Shares, 0 to 1, of requests that ended before their deadline.

    `useless_work` is the share of the target's work that ended too late.
    """

    policy: str
    load: float
    in_time_by_class: dict[str, float]
    in_time_of_greedy_caller: float
    in_time_of_others: float
    useless_work: float


def judge(
    policy: str,
    load: float,
    requests: list[OfferedRequest],
    ended_at_by_number: dict[int, float],
) -> PolicyResult:
    """Return the figures of a run."""
    in_time = {
        request.number
        for request in requests
        if ended_at_by_number.get(request.number, float("inf")) <= request.deadline
    }

    def share(chosen: list[OfferedRequest]) -> float:
        """Return the share of some requests that ended in time."""
        return sum(request.number in in_time for request in chosen) / len(chosen)

    names = {request.offered_class.name for request in requests}
    done = [request for request in requests if request.number in ended_at_by_number]
    late = [request for request in done if request.number not in in_time]
    return PolicyResult(
        policy=policy,
        load=load,
        in_time_by_class={
            name: share([r for r in requests if r.offered_class.name == name])
            for name in sorted(names)
        },
        in_time_of_greedy_caller=share(
            [r for r in requests if r.caller == GREEDY_CALLER]
        ),
        in_time_of_others=share([r for r in requests if r.caller != GREEDY_CALLER]),
        useless_work=sum(r.work for r in late) / sum(r.work for r in done),
    )
