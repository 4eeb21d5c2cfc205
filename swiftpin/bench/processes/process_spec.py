"""What to start."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class ProcessSpec:
    """A process to start.

    `module` is run with the present interpreter and `arguments`. `ready_url` answers
    200 once the process is ready, None when there is nothing to wait for.
    """

    name: str
    module: str
    arguments: tuple[str, ...]
    ready_url: str | None = None
