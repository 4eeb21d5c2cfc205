"""Measurement of the memory of this process."""

from __future__ import annotations

from pathlib import Path
import resource
from typing import Final

STATM: Final = Path("/proc/self/statm")
"""Sizes of this process in pages; the second field is its resident set."""


def read_resident_set(path: Path = STATM) -> int | None:
    """Return the resident set of this process in bytes, None if it can't be read."""
    try:
        pages = int(path.read_text(encoding="ascii").split()[1])
    except (OSError, ValueError, IndexError):
        return None
    return pages * resource.getpagesize()
