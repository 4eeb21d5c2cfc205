"""Names of the rules, as in docs/design/ownership.md."""

from __future__ import annotations

from enum import StrEnum


class Rule(StrEnum):
    """The rules that the models state."""

    CONFIRMED = "confirmed"
    FENCE = "fence"
    TAKEOVER = "takeover"
    LAPSED = "lapsed"
    SERVE = "serve"
    RECORD_FIRST = "record_first"
    SLICE_TERMS_GROW = "slice_terms_grow"
    TERMS_GROW = "terms_grow"
    COUNTED = "counted"
    COOPERATIVE = "cooperative"
