"""Tests of the summary of unserved times."""

from __future__ import annotations

from swiftpin.bench.load.spell_summary import percentile, summarize_spells


def test_longest_spell_of_each_key_counts() -> None:
    """Percentiles go over keys, the total over all spells."""
    summary = summarize_spells({"a": [0.5, 2.0], "b": [1.0]})
    assert (summary.keys, summary.p50, summary.max) == (2, 1.0, 2.0)
    assert summary.total == 3.5


def test_no_spell() -> None:
    """A run without unserved time has a summary too."""
    assert summarize_spells({}).max == 0.0


def test_percentile_is_nearest_rank() -> None:
    """The 99th percentile of 100 values is the 99th value."""
    values = [float(value) for value in range(1, 101)]
    assert percentile(values, 99.0) == 99.0
    assert percentile(values, 50.0) == 50.0
