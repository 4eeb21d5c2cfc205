"""Sizes that the buffers of a request may reach, in bytes."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback

REQUEST_BYTES: Final = 32 * 1024
"""Bytes of a request without its body and of a short answer, its connection included.
"""

MAX_BODY: Final = 320 * 1024
"""Bytes of a body that are held at most: 64 KiB that may be sent again, 128 KiB that
are read ahead, and 128 KiB in the receive buffer of the caller's connection."""

MAX_ANSWER: Final = 768 * 1024
"""Bytes of an answer that are held at most: 256 KiB that are read before any of it is
sent to the caller and one read above that (up to 256 KiB), 128 KiB that are read
ahead, and 128 KiB in the receive buffer of the target's connection."""

SHORT_ANSWER: Final = 16 * 1024
"""Bytes of an answer that is covered by `REQUEST_BYTES`."""


@callback
def body_size(length: int | None) -> int:
    """Return the bytes that a body may take; `length` is None if it is not known."""
    return MAX_BODY if length is None else min(length, MAX_BODY)


@callback
def answer_size(length: int | None) -> int:
    """Return the bytes that an answer may take; `length` is None if not known."""
    if length is None:
        return MAX_ANSWER
    return 0 if length <= SHORT_ANSWER else min(length, MAX_ANSWER)
