"""Basic building blocks that every package shares."""

from __future__ import annotations

from collections.abc import Callable
import time
from typing import Any, Final, TypeVar

_CallableT = TypeVar("_CallableT", bound=Callable[..., Any])

CALLBACK_ATTRIBUTE: Final = "_swiftpin_callback"


def callback(func: _CallableT) -> _CallableT:
    """Mark a function that runs in the event loop and never blocks or awaits."""
    setattr(func, CALLBACK_ATTRIBUTE, True)
    return func


def is_callback(func: Callable[..., Any]) -> bool:
    """Return whether the function was marked with `callback`."""
    return getattr(func, CALLBACK_ATTRIBUTE, False) is True


def monotonic_now() -> float:
    """Return the process's monotonic time in seconds.

    Only daemons' outer loops call it; functions that decide take the time as an
    argument, so that tests can choose it.
    """
    return time.monotonic()
