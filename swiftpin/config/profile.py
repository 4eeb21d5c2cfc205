"""A profile as the rest of swiftpin sees it."""

from __future__ import annotations

from dataclasses import dataclass, field

from swiftpin.config.key_rule import HeaderKeyRule, KeyRule
from swiftpin.config.measure_weights import MeasureWeights
from swiftpin.config.outage_behaviour import OutageBehaviour
from swiftpin.config.request_class import RequestClass


@dataclass(frozen=True, kw_only=True, slots=True)
class Profile:
    """How the traffic of the services that name it is treated.

    Times are in seconds. `queue_length` bounds the requests waiting for one target,
    `retry_ratio` the retries as a share of first tries, `moves_per_minute` the
    slices that rebalancing may move, `body_limit` and `answer_record_limit` bytes.
    """

    name: str
    key_rule: KeyRule = field(default_factory=HeaderKeyRule)
    classes: tuple[RequestClass, ...] = ()
    default_timeout: float = 10.0
    max_timeout: float = 300.0
    queue_length: int = 200
    retry_ratio: float = 0.1
    retry_min_per_second: float = 1.0
    max_attempts: int = 3
    weights: MeasureWeights = field(default_factory=MeasureWeights)
    moves_per_minute: int = 60
    idempotency_retention: float = 3600.0
    answer_record_limit: int = 4096
    body_limit: int = 64 * 1024 * 1024
    on_store_outage: OutageBehaviour = OutageBehaviour.TICKET
