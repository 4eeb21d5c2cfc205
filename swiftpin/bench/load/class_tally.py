"""What one worker counted for one class of its load."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(kw_only=True, slots=True)
class ClassTally:
    """Counts of requests and tries, measured part only.

    `scheduled` requests became due; of these `answered` got a target's answer,
    `refused` were called the caller's mistake, `unknown` ended with an unknown outcome
    and `unanswered` were still open when the run ended. `tries_by_result` counts the
    answers to single tries by result code, or by the name of the error that a try
    ended in. `latency` is an encoded `LatencyHistogram` of the answered ones, from
    the scheduled time. `spells_by_key` holds unserved times in seconds.
    """

    scheduled: int = 0
    answered: int = 0
    refused: int = 0
    unknown: int = 0
    unanswered: int = 0
    tries_by_result: dict[str, int] = field(default_factory=dict)
    latency: str = ""
    spells_by_key: dict[str, list[float]] = field(default_factory=dict)
