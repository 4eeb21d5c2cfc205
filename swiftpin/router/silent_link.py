"""Interruption of a request that awaits its answer on a lost link."""

from __future__ import annotations

from swiftpin.exceptions import AnswerBrokenError
from swiftpin.gateway.task_interrupt import TaskInterrupt


class SilentLinkError(AnswerBrokenError):
    """The link to the target was lost while the target had the request."""


class SilentLinkInterrupt(TaskInterrupt):
    """Raises `SilentLinkError` out of its block once the link is found lost."""

    __slots__ = ()

    def error(self) -> Exception:
        """Return what an interrupted block raises."""
        return SilentLinkError("the link was lost while the target had the request")
