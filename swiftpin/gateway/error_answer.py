"""Answers that swiftpin gives by itself when a request failed."""

from __future__ import annotations

import math

from aiohttp.hdrs import CONTENT_TYPE, RETRY_AFTER
from multidict import CIMultiDict
import orjson

from swiftpin.exceptions import RequestError

CONTENT_TYPE_JSON = "application/json"


def error_headers(err: RequestError) -> CIMultiDict[str]:
    """Return the headers of the answer, but for the result code."""
    headers = CIMultiDict({CONTENT_TYPE: CONTENT_TYPE_JSON})
    if err.retry_after is not None:
        headers[RETRY_AFTER] = str(math.ceil(err.retry_after))
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
