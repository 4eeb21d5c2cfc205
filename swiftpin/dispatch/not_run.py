"""Outcome of a request that was certainly not run."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """No target ran the request; its record is erased, so that a resend may run."""
