"""Errors of the experiments' tools."""

from __future__ import annotations

from swiftpin.exceptions import SwiftpinError


class BenchError(SwiftpinError):
    """Base of errors of the experiments' tools."""


class ProcessLimitError(BenchError):
    """Starting another process would pass a limit of this machine."""


class ProcessEndedError(BenchError):
    """A started process ended by itself; the message carries its last log lines."""


class NotReadyError(BenchError):
    """A process did not become ready in time."""


class LoadError(BenchError):
    """The load generator could not carry out its specification."""
