"""Parts of the rule `cooperative` left out, to show that the model notices."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class CooperativeWeakness:
    """Each flag takes one part of the rule away; all off is the protocol."""

    no_wait: bool = False
    """A new holder sends at once after its write."""

    acknowledges_any: bool = False
    """An instance acknowledges a lease that does not name it as successor."""

    no_outage_limit: bool = False
    """The successor's acknowledgements confirm without end."""

    wait_not_recorded: bool = False
    """The record does not tell that a third instance's wait is not over (second
    version)."""

    acknowledges_after_write: bool = False
    """A successor goes on to acknowledge while the answer to its takeover is open
    (second version)."""
