"""What an answer says about whether the request ran."""

from __future__ import annotations

from contextlib import suppress
from typing import Any, Final

import orjson

from swiftpin.result import Executed, ResultCode

ANSWERED: Final = frozenset({ResultCode.ANSWERED, ResultCode.REPLAYED})
FIELD_EXECUTED: Final = "executed"


def stated_execution(result: int | None, body: bytes) -> Executed | None:
    """Return what is said, None where nothing is.

    A target's answer says so by being there; swiftpin's own answers have a field.
    """
    if result in ANSWERED:
        return Executed.YES
    with suppress(orjson.JSONDecodeError, ValueError):
        document: Any = orjson.loads(body)
        if isinstance(document, dict):
            return Executed(str(document.get(FIELD_EXECUTED)))
    return None
