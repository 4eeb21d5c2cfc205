"""Counts of what became of requests, from the routers' logs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
import re
from typing import Final

REQUEST_LINE: Final = re.compile(r" event=request .*\boutcome=(?P<outcome>\S+)")


def count_outcomes(lines: Iterable[str]) -> Counter[str]:
    """Return how many requests ended with each outcome.

    Lines of other events, and of other programs, are passed over.
    """
    found = (REQUEST_LINE.search(line) for line in lines)
    return Counter(match["outcome"] for match in found if match is not None)
