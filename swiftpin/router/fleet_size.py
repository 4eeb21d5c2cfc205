"""How many instances share what the fleet as a whole may spend."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback

HEADROOM: Final = 8
"""Part of the members by which the count that is told may exceed their number, so that
not every start is told to everyone."""


@callback
def members_to_tell(members: int, told: int) -> int:
    """Return the count to tell, at least the members; `told` was told last."""
    most = members + members // HEADROOM
    if members <= told <= most + members // HEADROOM + 1:
        return told
    return most
