"""How often Python looks for garbage that reference counts leave behind."""

from __future__ import annotations

import gc
from typing import Final

from swiftpin.core import callback

YOUNG_LIMIT: Final = 20_000
"""Objects made and not yet freed after which the young ones are looked through."""

MIDDLE_ROUNDS: Final = 10
OLD_ROUNDS: Final = 10


@callback
def spread_collections() -> None:
    """Look for garbage less often than Python does by itself.

    Requests in flight hold more than the 700 objects after which Python collects,
    so under load it would look through the same living objects again and again, and the
    instance would stand still for milliseconds: one sees it at the slowest requests.
    """
    gc.set_threshold(YOUNG_LIMIT, MIDDLE_ROUNDS, OLD_ROUNDS)
