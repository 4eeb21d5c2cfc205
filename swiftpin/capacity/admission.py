"""Admission of requests to what an instance can hold."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
import math
from typing import Final

from swiftpin.capacity.buffer_sizes import (
    REQUEST_BYTES,
    SHORT_ANSWER,
    answer_size,
    body_size,
)
from swiftpin.capacity.capacity_limits import CapacityLimits
from swiftpin.capacity.link_backlog import LinkBacklog
from swiftpin.capacity.return_times import MAX_RETRY_AFTER, ReturnTimes
from swiftpin.capacity.route_sizes import RouteSizes
from swiftpin.core import callback

LARGE_SHARE: Final = 0.95
"""Share of the bytes up to which requests with bodies or long answers are admitted. The
rest is for others, which are not refused because callers send or read slowly."""

CONNECTION_RETRY_AFTER: Final = 0.5
"""Seconds after which a caller may return that was refused for its connection."""


class RefusalReason(StrEnum):
    """What an instance has too little of for a request."""

    BYTES = "bytes"
    CONNECTIONS = "connections"
    LINK = "link"


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """Why a request is not admitted, and from when there is capacity."""

    reason: RefusalReason
    retry_after: float
    """Seconds."""


class Holding:
    """Part of the capacity that one request holds until it is released."""

    __slots__ = (
        "_admission",
        "_answer",
        "_body",
        "_due",
        "_is_length_known",
        "_route",
        "length",
    )

    def __init__(
        self, admission: Admission, route: str, body: int, answer: int, due: int
    ) -> None:
        self.length = 0
        """Bytes of the answer that is expected to be delivered, 0 before it begins."""

        self._admission = admission
        self._route = route
        self._body = body
        self._answer = answer
        self._due = due
        self._is_length_known = False

    @callback
    def begin_answer(self, length: int | None, now: float) -> bool:
        """Count an answer that begins; return whether it is a long one."""
        admission = self._admission
        size = answer_size(length)
        # A request whose answer has begun is not sent again.
        admission.change(size - self._answer - self._body)
        self._answer, self._body = size, 0
        transmitted = size if length is None else length
        admission.sizes.record(self._route, size, transmitted, now)
        if transmitted != self._due:
            admission.backlog.add(transmitted - self._due, now)
            self._due = transmitted
        self.length = transmitted
        self._is_length_known = length is not None
        return size > 0

    @callback
    def keep(self, remaining: int) -> None:
        """Count only what remains of an answer of known length to be delivered."""
        if self._is_length_known and remaining < self._answer:
            self._admission.change(remaining - self._answer)
            self._answer = remaining

    @callback
    def release(self, now: float, undelivered: int = 0) -> None:
        """Free everything; `undelivered` bytes of the answer aren't transmitted."""
        if not self.length:
            undelivered = self._due
        if undelivered:
            self._admission.backlog.add(-undelivered, now)
        self._admission.end(REQUEST_BYTES + self._body + self._answer)


class Admission:
    """Decides which requests an instance serves.

    The load: callers that read long answers slowly, beside many short requests. A
    request is counted with the bytes that its buffers may reach. It is refused if they
    don't fit, if too many connections are open, or if the link couldn't transmit its
    answer in the time that it has.
    """

    def __init__(self, limits: CapacityLimits) -> None:
        self.limits = limits
        self.sizes = RouteSizes()
        self.backlog = LinkBacklog(limits.bandwidth)
        self.held_bytes = 0
        self.requests = 0
        self._returns = ReturnTimes(
            0.0 if math.isinf(limits.buffered_bytes) else limits.buffered_bytes
        )

    @callback
    def usage(self, connections: int, now: float) -> float:
        """Return the used share of the scarcest part of the capacity.

        The link counts by the time until it is idle, with the longest time for which
        refused callers wait as its limit.
        """
        limits = self.limits
        held = self.held_bytes / max(limits.buffered_bytes, 1.0)
        link = self.backlog.seconds(now) / MAX_RETRY_AFTER
        return max(held, connections / limits.connections, link)

    @callback
    def admit(
        self,
        route: str,
        body_length: int | None,
        time_left: float,
        connections: int,
        now: float,
    ) -> Holding | Refusal:
        """Admit a request or refuse it.

        `connections` are those open from callers, its own included. `time_left` is in
        seconds, until its deadline.
        """
        limits = self.limits
        if connections > limits.connections:
            return Refusal(
                reason=RefusalReason.CONNECTIONS, retry_after=CONNECTION_RETRY_AFTER
            )
        body = 0 if body_length == 0 else body_size(body_length)
        answer = self.sizes.expected_buffered(route)
        size = REQUEST_BYTES + body + answer
        share = LARGE_SHARE if answer or body > SHORT_ANSWER else 1.0
        excess = self.held_bytes + size - limits.buffered_bytes * share
        if excess > 0:
            return Refusal(
                reason=RefusalReason.BYTES,
                retry_after=self._returns.retry_after(size, now),
            )
        due = self.sizes.expected_transmitted(route)
        if due > SHORT_ANSWER:
            wait = self.backlog.excess(due, self.requests, time_left, now)
            if wait > 0:
                return Refusal(
                    reason=RefusalReason.LINK, retry_after=min(wait, MAX_RETRY_AFTER)
                )
        if due:
            self.backlog.add(due, now)
        self.held_bytes += size
        self.requests += 1
        return Holding(self, route, body, answer, due)

    @callback
    def change(self, size: int) -> None:
        """Change the bytes held for a request."""
        self.held_bytes += size
        if size < 0:
            self._returns.record_freed(-size)

    @callback
    def end(self, size: int) -> None:
        """Free the bytes held for a request that ended."""
        self.requests -= 1
        self.change(-size)
