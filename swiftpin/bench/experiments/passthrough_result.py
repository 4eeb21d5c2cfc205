"""Result of the pass-through experiment."""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median

from swiftpin.bench.experiments.passthrough_sample import (
    Contender,
    PassthroughSample,
    Phase,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class PassthroughResult:
    """All samples and the medians over repeats.

    `rate_ratio` is the gateway's limit over the bare proxy's, `cpu_ratio` its
    processor time a request over the bare proxy's at the steady rate, both within
    each repeat, then the median.
    """

    steady_rate: float
    rate_ratio: float
    cpu_ratio: float
    samples: list[PassthroughSample]


def summarize(samples: list[PassthroughSample], rate: float) -> PassthroughResult:
    """Return the result of samples in which each repeat is complete."""
    samples_by_id = {
        (item.contender, item.phase, item.repeat): item for item in samples
    }
    repeats = sorted({item.repeat for item in samples})
    rate_ratios = []
    cpu_ratios = []
    for repeat in repeats:
        bare = samples_by_id[Contender.BARE, Phase.LIMIT, repeat]
        gateway = samples_by_id[Contender.GATEWAY, Phase.LIMIT, repeat]
        rate_ratios.append(gateway.rate / bare.rate)
        bare = samples_by_id[Contender.BARE, Phase.STEADY, repeat]
        gateway = samples_by_id[Contender.GATEWAY, Phase.STEADY, repeat]
        cpu_ratios.append(gateway.cpu_ms / bare.cpu_ms)
    return PassthroughResult(
        steady_rate=rate,
        rate_ratio=median(rate_ratios),
        cpu_ratio=median(cpu_ratios),
        samples=samples,
    )
