"""Steps that break an invariant, marked as they are taken."""

from __future__ import annotations

from typing import Final

SLICE_TERM_FELL: Final = 1
RECORD_WENT_BACK: Final = 2
DONE_WRITE_LOST: Final = 4
MOVE_NOT_RECORDED: Final = 8
