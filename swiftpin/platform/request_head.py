"""Decoding and encoding of the platform's request and answer headers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
import math
from typing import Final

from aiohttp.hdrs import CONNECTION, HOST, RETRY_AFTER
from multidict import CIMultiDict

from swiftpin.const import HOP_BY_HOP
from swiftpin.platform.names import (
    HEADER_DEADLINE,
    HEADER_DRAINING,
    HEADER_EXPECTED_INSTANCE,
    HEADER_INSTANCE,
    HEADER_KEY,
    HEADER_LOAD,
    HEADER_NOT_EXECUTED,
    HEADER_RATE_LIMIT,
    HEADER_REQUEST_ID,
    HEADER_SIGNATURE,
    MILLISECONDS_PER_SECOND,
)

DEFAULT_DEADLINE: Final = 10.0
"""Seconds for a request without the header; the platform's callers always send it."""

MAX_KEY: Final = 65535
DRAINING: Final = "1"
"""Value of the header by which a target announces that it is leaving."""

NORMAL_WORK_PERCENT: Final = 100
"""Work time in the load header of a target that is not slowed down."""

DROPPED_REQUEST_HEADERS: Final = HOP_BY_HOP | {
    "content-length",
    "expect",
    "host",
    HEADER_DEADLINE.lower(),
    HEADER_EXPECTED_INSTANCE.lower(),
}
DROPPED_ANSWER_HEADERS: Final = HOP_BY_HOP | {"content-length"}


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestHead:
    """Fields that the router reads from a caller's headers."""

    id: str
    deadline: float
    """Seconds for which the caller waits, counted from the request's arrival."""

    key: int | None


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetLoad:
    """Load that a target reports for its queue and its machine."""

    running: int
    waiting: int
    slots: int
    slowdown_factor: float = 1.0
    """Current work time on the target's machine relative to the normal one."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerHead:
    """Fields that the router reads from the head of a target's answer."""

    status: int
    request_id: str | None
    is_signed: bool
    not_executed: bool
    """Whether the target reports that it did not run the request."""

    instance: str | None
    """Id of the answering target, None if it sends none."""

    load: TargetLoad | None
    rate_limit: float | None
    """Requests per second that the target accepts from all instances together, infinite
    without a limit, None if the answer doesn't tell."""

    is_draining: bool = False
    """Whether the target announces that it is leaving."""

    retry_after: float | None = None
    """Seconds for which the target asks not to be called, None if it doesn't."""

    @property
    def is_healthy(self) -> bool:
        """Return whether this answer of a health endpoint reports no problem."""
        return self.status == HTTPStatus.OK


def decode_request_head(headers: Mapping[str, str]) -> RequestHead:
    """Decode a request's headers; raise `ValueError` if a value is malformed."""
    deadline = headers.get(HEADER_DEADLINE)
    key_text = headers.get(HEADER_KEY)
    key = None if key_text is None else int(key_text)
    if key is not None and not 0 <= key <= MAX_KEY:
        raise ValueError(f"key {key} is out of range")
    seconds = (
        DEFAULT_DEADLINE
        if deadline is None
        else float(deadline) / MILLISECONDS_PER_SECOND
    )
    if not math.isfinite(seconds):
        raise ValueError("the deadline is not a time")
    return RequestHead(id=headers.get(HEADER_REQUEST_ID, ""), deadline=seconds, key=key)


def encode_request_headers(
    received: Iterable[tuple[str, str]], host: str, target_id: str, remaining: float
) -> CIMultiDict[str]:
    """Return the headers of a request to a target; `remaining` is in seconds."""
    headers = _forwarded_headers(received, DROPPED_REQUEST_HEADERS)
    headers[HOST] = host
    headers[HEADER_DEADLINE] = str(max(int(remaining * MILLISECONDS_PER_SECOND), 1))
    headers[HEADER_EXPECTED_INSTANCE] = target_id
    return headers


def is_answer_to(request_id: str, headers: Mapping[str, str]) -> bool:
    """Return False if an answer carries the id of another request.

    Answers created by servers on the path may carry no id.
    """
    return headers.get(HEADER_REQUEST_ID, request_id) == request_id


def decode_answer_head(status: int, headers: Mapping[str, str]) -> AnswerHead:
    """Decode the head of a target's answer."""
    is_misdirected = status == HTTPStatus.MISDIRECTED_REQUEST
    return AnswerHead(
        status=status,
        request_id=headers.get(HEADER_REQUEST_ID),
        is_signed=HEADER_SIGNATURE in headers,
        not_executed=HEADER_NOT_EXECUTED in headers or is_misdirected,
        instance=headers.get(HEADER_INSTANCE),
        load=_decode_load(headers.get(HEADER_LOAD)),
        rate_limit=_decode_rate_limit(headers),
        is_draining=headers.get(HEADER_DRAINING, "").strip() == DRAINING,
        retry_after=_decode_retry_after(headers.get(RETRY_AFTER)),
    )


def encode_answer_headers(received: Iterable[tuple[str, str]]) -> CIMultiDict[str]:
    """Return the headers of a target's answer to forward to the caller."""
    return _forwarded_headers(received, DROPPED_ANSWER_HEADERS)


def own_answer_headers(request_id: str) -> CIMultiDict[str]:
    """Return the headers of an answer created by the router itself."""
    return CIMultiDict({HEADER_REQUEST_ID: request_id}) if request_id else CIMultiDict()


def _forwarded_headers(
    received: Iterable[tuple[str, str]], dropped: frozenset[str]
) -> CIMultiDict[str]:
    """Return the received headers without hop-by-hop and dropped ones."""
    forwarded = CIMultiDict(
        [item for item in received if item[0].lower() not in dropped]
    )
    connection_values = [
        value for name, value in received if name.lower() == "connection"
    ]
    for value in connection_values:
        for name in value.split(","):
            forwarded.popall(name.strip(), None)
    forwarded.popall(CONNECTION, None)
    return forwarded


def _decode_load(text: str | None) -> TargetLoad | None:
    """Return the load in a header, None if it is missing or malformed."""
    if text is None:
        return None
    try:
        running, waiting, slots, *work_percents = (
            int(part) for part in text.split(",")
        )
    except ValueError:
        # A malformed load header does not invalidate the answer.
        return None
    percent = work_percents[0] if work_percents else NORMAL_WORK_PERCENT
    if min(running, waiting, slots) < 0 or percent <= 0 or len(work_percents) > 1:
        return None
    return TargetLoad(
        running=running,
        waiting=waiting,
        slots=slots,
        slowdown_factor=percent / NORMAL_WORK_PERCENT,
    )


def _decode_rate_limit(headers: Mapping[str, str]) -> float | None:
    """Return the requests per second that a target accepts, None if unknown.

    Only an answer with the target's signature shows that there is no limit: rejections
    are not known to name it.
    """
    text = headers.get(HEADER_RATE_LIMIT)
    if text is None:
        return math.inf if HEADER_SIGNATURE in headers else None
    try:
        rate_limit = float(text)
    except ValueError:
        # A malformed limit does not invalidate the answer.
        return None
    return rate_limit if rate_limit >= 0 else None


def _decode_retry_after(text: str | None) -> float | None:
    """Return the seconds in a `Retry-After` header, None if missing or malformed.

    Targets state seconds. A date, which HTTP also allows, counts as malformed: it would
    have to be compared with the clock of another machine.
    """
    if text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        # A malformed delay does not invalidate the answer.
        return None
    return seconds if math.isfinite(seconds) and seconds >= 0 else None
