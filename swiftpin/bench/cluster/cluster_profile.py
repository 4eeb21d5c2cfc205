"""The profile that experiments use unless they set another."""

from __future__ import annotations

from typing import Final

from swiftpin.config.models.profile_spec_model import ProfileSpecModel
from swiftpin.config.models.request_class_model import RequestClassModel

BENCH_PROFILE: Final = ProfileSpecModel(
    classes=[
        RequestClassModel(
            name="download",
            methods=["GET"],
            path="/bundle/*",
            priority=2,
            repeatable=True,
            weight=1.0,
        ),
        RequestClassModel(
            name="lookup",
            methods=["GET"],
            path="*",
            priority=1,
            repeatable=True,
            weight=1.0,
        ),
        RequestClassModel(
            name="booking",
            methods=["POST"],
            path="*",
            priority=0,
            repeatable=False,
            weight=3.0,
        ),
    ],
)
"""Bookings before lookups before downloads; only bookings must not repeat."""
