"""Reports of played days to test with."""

from __future__ import annotations

from typing import Any


def make_group(name: str, asked: int, earned: float) -> dict[str, Any]:
    """Return the requests of a kind or a time."""
    return {
        "name": name,
        "n": asked,
        "in_aim": asked - 10,
        "late": 5,
        "refused": 3,
        "failed": 2,
        "worth": earned,
    }


def make_report(worth: float = 0.5, calls: int = 200) -> dict[str, Any]:
    """Return a report as it is written."""
    return {
        "G": worth,
        "parts": [["whole day", 0.6, 0.9]],
        "prices": [["calls", calls, 0.1]],
        "classes": [make_group("lookup", 100, 0.8)],
        "windows": [
            make_group("0", 100, 0.9),
            make_group("2", 100, 0.4),
            make_group("4", 10, 0.1),
        ],
        "ends": {"200": 90, "503": 10},
        "breaks": {},
        "nodes": [{"n": 10, "mem_peak_mb": 40.0, "cpu_mean": 0.05}],
    }
