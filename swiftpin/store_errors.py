"""Errors of calls to an object store with a bounded history."""

from __future__ import annotations

from swiftpin.exceptions import StoreError, StoreUnavailableError


class HistoryGoneError(StoreError):
    """The store no longer keeps the changes after a revision; list again."""


class StoreAnswerTooLongError(StoreUnavailableError):
    """The store's answer is longer than an instance reads."""


class ObjectMissingError(StoreError):
    """The object does not exist."""
