"""Which headers go on, and which swiftpin sets itself."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import lru_cache
from typing import Final

from aiohttp.hdrs import CONNECTION, HOST
from multidict import CIMultiDict

from swiftpin.config.target_spec import TargetSpec
from swiftpin.const import (
    HEADER_CALLER,
    HEADER_GROUP,
    HEADER_HOLDER,
    HEADER_HOPS,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_KEY,
    HEADER_PREFIX,
    HEADER_REQUEST_ID,
    HEADER_SERVICE,
    HEADER_SLICE,
    HEADER_TERM,
    HEADER_TICKET,
    HEADER_TIMEOUT,
    HOP_BY_HOP,
)
from swiftpin.gateway.incoming_request import IncomingRequest
from swiftpin.gateway.request_parser import HOP_LIMIT, MILLISECONDS
from swiftpin.ownership.route import Route

REQUEST_DROPPED: Final = HOP_BY_HOP | {
    "content-length",
    "expect",
    "host",
    HEADER_IDEMPOTENCY_KEY.lower(),
}
NAME_CACHE: Final = 1024
"""Header names whose treatment is remembered; the same few come with every request."""

ANSWER_DROPPED: Final = HOP_BY_HOP | {"content-length"}


def target_headers(
    incoming: IncomingRequest, target: TargetSpec, route: Route | None, left: float
) -> CIMultiDict[str]:
    """Return the headers of a request to a target, with `left` seconds to go."""
    headers = _request_headers(incoming, target.address, left)
    if route is not None:
        headers[HEADER_SLICE] = str(route.slice_id)
        headers[HEADER_GROUP] = str(route.group.group)
        headers[HEADER_TERM] = str(route.term)
        headers[HEADER_HOLDER] = route.holder
    return headers


def forward_headers(
    incoming: IncomingRequest, address: str, left: float
) -> CIMultiDict[str]:
    """Return the headers of a request to the instance that holds the group."""
    headers = _request_headers(incoming, address, left)
    headers[HEADER_HOPS] = str(HOP_LIMIT)
    headers[HEADER_CALLER] = incoming.caller
    if incoming.ticket is not None:
        headers[HEADER_TICKET] = incoming.ticket
    return headers


def answer_headers(received: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers of an answer that go on to the caller.

    Of swiftpin's own only the ticket goes on, which the holder gave.
    """
    headers = _kept(received, _is_answer_dropped)
    ticket = received.get(HEADER_TICKET)
    if ticket is not None:
        headers[HEADER_TICKET] = ticket
    return headers


def _request_headers(
    incoming: IncomingRequest, address: str, left: float
) -> CIMultiDict[str]:
    """Return the headers that targets and other instances get alike."""
    headers = _kept(incoming.headers, _is_request_dropped)
    headers[HOST] = address
    if incoming.key:
        headers[HEADER_KEY] = incoming.key
    headers[HEADER_REQUEST_ID] = incoming.id
    headers[HEADER_TIMEOUT] = str(int(left * MILLISECONDS))
    headers[HEADER_SERVICE] = incoming.service.name
    if incoming.idempotency_key is not None:
        headers[HEADER_IDEMPOTENCY_KEY] = incoming.idempotency_key
    return headers


def _kept(
    received: Mapping[str, str], is_dropped: Callable[[str], bool]
) -> CIMultiDict[str]:
    """Return the headers that neither end at this hop nor belong to swiftpin."""
    kept = CIMultiDict([item for item in received.items() if not is_dropped(item[0])])
    named = received.get(CONNECTION)
    if named is not None:
        for name in named.split(","):
            kept.popall(name.strip(), None)
    return kept


@lru_cache(maxsize=NAME_CACHE)
def _is_request_dropped(name: str) -> bool:
    """Return whether a request's header ends here."""
    lowered = name.lower()
    return lowered in REQUEST_DROPPED or lowered.startswith(HEADER_PREFIX)


@lru_cache(maxsize=NAME_CACHE)
def _is_answer_dropped(name: str) -> bool:
    """Return whether an answer's header ends here."""
    lowered = name.lower()
    return lowered in ANSWER_DROPPED or lowered.startswith(HEADER_PREFIX)
