"""End of started processes when their starter dies."""

from __future__ import annotations

import ctypes
import signal
from typing import Final

PR_SET_PDEATHSIG: Final = 1

_LIBC: Final = ctypes.CDLL(None)


def end_with_parent() -> None:
    """Ask the kernel to kill this process when its parent dies.

    Runs in the child between fork and exec. Without it a starter that is killed
    outright leaves its gateways and targets behind; they show as processes of PID 1
    that still listen.
    """
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
