"""One log line for each routing decision."""

from __future__ import annotations

import time

from swiftpin.core import callback
from swiftpin.gateway.request_record import RequestRecord
from swiftpin.helpers.logging_destination import KeyValueDestination
from swiftpin.helpers.logging_format import (
    ABSENT,
    format_text,
    format_text_cached,
    format_time,
)
from swiftpin.result import Executed

MILLISECONDS = 1000.0


class DecisionLog:
    """Writes how each request was routed and how it ended.

    `sample` is the share, 0 to 1, of answered requests that get a line; all others
    always do.
    """

    def __init__(self, destination: KeyValueDestination, sample: float) -> None:
        self._destination = destination
        self._sample = sample
        self._due = 0.0

    @callback
    def write(self, record: RequestRecord, now: float) -> None:
        """Write the line of a request that ended."""
        failed = record.executed is not Executed.YES
        level = "warning" if failed else "info"
        if not self._destination.is_enabled(level):
            return
        if not failed and not self._is_sampled():
            return
        elapsed = (now - record.started_at) * MILLISECONDS
        self._destination.write_line(
            f"time={format_time(time.time())} level={level} event=request"
            f" request_id={_request_id(record)}"
            f"{_request_pairs(record)}{_route_pairs(record)}"
            f" attempts={record.attempts} status={record.status}"
            f" result={record.result} executed={record.executed}"
            f" elapsed_ms={elapsed:.2f}"
            f"{_hint_pair(record)}",
            level,
        )

    def _is_sampled(self) -> bool:
        """Return whether this line belongs to the share that is written."""
        self._due += self._sample
        if self._due < 1.0:
            return False
        self._due -= 1.0
        return True


def _request_id(record: RequestRecord) -> str:
    """Return the request id; only one that came from outside can need quotes."""
    if record.forwarded:
        return format_text(record.request_id)
    return record.request_id


def _request_pairs(record: RequestRecord) -> str:
    """Return the pairs about the request itself."""
    entry = "forward" if record.forwarded else "caller"
    incoming = record.incoming
    if incoming is None:
        return f" entry={entry}"
    return (
        f" entry={entry} service={format_text_cached(incoming.service.name)}"
        f" class={format_text_cached(incoming.request_class.name)}"
        f" key={format_text(incoming.key) if incoming.key else ABSENT}"
    )


def _route_pairs(record: RequestRecord) -> str:
    """Return the pairs about where the request went."""
    route = record.route
    if route is None:
        if record.target is None:
            return ""
        return f" target={format_text_cached(record.target)} reason=balanced"
    return (
        f" slice={route.slice_id} group={route.group.group}"
        f" target={format_text_cached(route.target.id)} term={route.term}"
        f" holder={format_text_cached(route.holder)}"
        f" reason={format_text_cached(route.reason)}"
    )


def _hint_pair(record: RequestRecord) -> str:
    """Return the pair with the reason of a failure."""
    return f" hint={format_text(record.hint)}" if record.hint else ""
