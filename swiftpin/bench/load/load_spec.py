"""What the load generator is to do."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.bench.load.load_class import LoadClass
from swiftpin.bench.load.load_mode import LoadMode


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadSpec:
    """Load of one run, over all its worker processes.

    `entries` are addresses `host:port` that take callers' requests. Each try goes to
    a random one, but only first tries to one of `lossy_entries`: the platform's
    balancer has taken those out by the time of a second try. Times are in seconds:
    requests scheduled in the first `warmup` of `duration` are not measured,
    `attempt_timeout` ends one try, `drain` bounds the wait for answers after the last
    arrival. `zipf_exponent` is 0 for keys that are asked for alike. Unserved times
    shorter than `unserved_threshold` are not counted. Callers give a request up after
    `max_tries`, never if that is None.
    """

    entries: tuple[str, ...]
    classes: tuple[LoadClass, ...]
    mode: LoadMode
    duration: float
    lossy_entries: tuple[str, ...] = ()
    warmup: float = 1.0
    workers: int = 2
    keys: int = 1000
    key_prefix: str = "key"
    zipf_exponent: float = 0.9
    seed: int = 1
    attempt_timeout: float = 2.0
    request_timeout_ms: int = 10_000
    max_tries: int | None = None
    drain: float = 10.0
    unserved_threshold: float = 0.1
    traced: bool = False
