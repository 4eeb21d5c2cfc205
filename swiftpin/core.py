"""Basic functions shared by all packages."""

from __future__ import annotations

from collections.abc import Callable
import time
from typing import Any, Final, TypeVar

_CallableT = TypeVar("_CallableT", bound=Callable[..., Any])

CALLBACK_ATTRIBUTE: Final = "_swiftpin_callback"


def callback(func: _CallableT) -> _CallableT:
    """Mark a function as running in the event loop without blocking or awaiting."""
    setattr(func, CALLBACK_ATTRIBUTE, True)
    return func


def is_callback(func: Callable[..., Any]) -> bool:
    """Return whether the function was marked with `callback`."""
    return getattr(func, CALLBACK_ATTRIBUTE, False) is True


def monotonic_now() -> float:
    """Return the monotonic time of the process in seconds.

    Only the outer loops of daemons call it; decision functions take the time as an
    argument, so that tests can set it.
    """
    return time.monotonic()
