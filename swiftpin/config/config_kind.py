"""Kinds of declarations."""

from __future__ import annotations

from enum import StrEnum


class ConfigKind(StrEnum):
    """A kind of declaration; the value is its part of the store name."""

    SERVICE = "service"
    PROFILE = "profile"
    PLANNED_STOP = "plannedstop"
