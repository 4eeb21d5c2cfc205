"""A caller's request as a target reads it."""

from __future__ import annotations

from dataclasses import dataclass

from multidict import CIMultiDictProxy

from swiftpin.const import (
    HEADER_GROUP,
    HEADER_HOLDER,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_KEY,
    HEADER_REQUEST_ID,
    HEADER_SERVICE,
    HEADER_SLICE,
    HEADER_TERM,
    HEADER_TIMEOUT,
)
from swiftpin.ownership.group_id import GroupId
from swiftpin.standins.fence import Fence


@dataclass(frozen=True, kw_only=True, slots=True)
class DataRequest:
    """Headers of one request.

    `slice_id`, `group` and `fence` are None for services without keys. `deadline`
    is in monotonic seconds, `work` in seconds, each None if the caller left it out.
    """

    method: str
    path: str
    service: str
    key: str | None
    slice_id: int | None
    group: GroupId | None
    fence: Fence | None
    request_id: str
    idempotency_key: str | None
    deadline: float | None
    work: float | None
    crash: bool
    abortable: bool

    @property
    def state_key(self) -> str:
        """Return the key under which the target holds the request's state."""
        return self.path if self.key is None else self.key


def parse_data_request(
    method: str, path: str, headers: CIMultiDictProxy[str], now: float
) -> DataRequest:
    """Return the request; ValueError when a number is malformed."""
    service = headers.get(HEADER_SERVICE, "")
    slice_id = headers.get(HEADER_SLICE)
    timeout = headers.get(HEADER_TIMEOUT)
    work = headers.get("X-Work-Ms")
    keyed = slice_id is not None
    return DataRequest(
        method=method,
        path=path,
        service=service,
        key=headers.get(HEADER_KEY),
        slice_id=None if slice_id is None else int(slice_id),
        group=_group(service, headers) if keyed else None,
        fence=_fence(headers) if keyed else None,
        request_id=headers.get(HEADER_REQUEST_ID, ""),
        idempotency_key=headers.get(HEADER_IDEMPOTENCY_KEY),
        deadline=None if timeout is None else now + int(timeout) / 1000,
        work=None if work is None else float(work) / 1000,
        crash=headers.get("X-Crash") == "1",
        abortable=headers.get("X-Abortable") == "1",
    )


def _group(service: str, headers: CIMultiDictProxy[str]) -> GroupId:
    """Return the group that the headers name."""
    return GroupId(service=service, group=int(headers.get(HEADER_GROUP, "0")))


def _fence(headers: CIMultiDictProxy[str]) -> Fence:
    """Return the term and holder that the headers name."""
    return Fence(
        term=int(headers.get(HEADER_TERM, "0")), holder=headers.get(HEADER_HOLDER, "")
    )
