"""The journal's permission to run a request."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Begun:
    """The receiver runs the request, and must end it with `async_finish`.

    `durable` is False for a run under a ticket, recorded in memory only.
    """

    key: str
    durable: bool
