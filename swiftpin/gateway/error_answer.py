"""Answers that swiftpin gives by itself when a request failed."""

from __future__ import annotations

import math
from typing import Final

from aiohttp.hdrs import CONTENT_TYPE, RETRY_AFTER
from multidict import CIMultiDict
import orjson

from swiftpin.const import HEADER_TICKET
from swiftpin.dispatch.exceptions import TicketOfferedError
from swiftpin.exceptions import NotRunError, RequestError

CONTENT_TYPE_JSON: Final = "application/json"
DEFAULT_RETRY_AFTER: Final = 1.0
"""Seconds, the least that `Retry-After` can say."""


def error_headers(err: RequestError) -> CIMultiDict[str]:
    """Return the headers of the answer, but for the result code."""
    headers = CIMultiDict({CONTENT_TYPE: CONTENT_TYPE_JSON})
    retry_after = err.retry_after
    if retry_after is None and isinstance(err, NotRunError):
        retry_after = DEFAULT_RETRY_AFTER
    if retry_after is not None:
        headers[RETRY_AFTER] = str(math.ceil(retry_after))
    if isinstance(err, TicketOfferedError):
        headers[HEADER_TICKET] = err.ticket
    return headers


def error_body(err: RequestError) -> bytes:
    """Return the JSON body: `code`, `name`, `executed` and `hint`."""
    return orjson.dumps(
        {
            "code": err.code.value,
            "name": err.code.name,
            "executed": err.executed.value,
            "hint": err.hint,
        }
    )
