"""Tests of the pass-through experiment's summary."""

from __future__ import annotations

import pytest

from swiftpin.bench.experiments.passthrough_result import summarize
from swiftpin.bench.experiments.passthrough_sample import (
    Contender,
    PassthroughSample,
    Phase,
)


def sample(
    contender: Contender, phase: Phase, repeat: int, rate: float, cpu_ms: float
) -> PassthroughSample:
    """Return a sample with these figures."""
    return PassthroughSample(
        contender=contender,
        phase=phase,
        repeat=repeat,
        rate=rate,
        p50_ms=1.0,
        p99_ms=2.0,
        cpu_ms=cpu_ms,
        cores=1.0,
        failed=0,
        busiest_worker=0.5,
        busiest_target=0.5,
        send_lag_p99_ms=1.0,
    )


def test_ratios_are_taken_within_each_repeat() -> None:
    """A machine that slows down between repeats does not change the ratios."""
    samples = []
    for repeat, speed in enumerate((1.0, 0.5, 0.1)):
        for contender, rate in ((Contender.BARE, 4000.0), (Contender.GATEWAY, 1000.0)):
            cpu_ms = 1000.0 / rate / speed
            samples += [
                sample(contender, Phase.LIMIT, repeat, rate * speed, cpu_ms),
                sample(contender, Phase.STEADY, repeat, 500.0, cpu_ms),
            ]
    result = summarize(samples, 500.0)
    assert result.rate_ratio == pytest.approx(0.25)
    assert result.cpu_ratio == pytest.approx(4.0)
