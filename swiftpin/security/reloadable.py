"""Something that is made from files and made again when they change."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Generic, TypeVar

from eliot import log_message

from swiftpin.exceptions import ConfigurationError
from swiftpin.security.named_file import NamedFile

ValueT = TypeVar("ValueT")


class Reloadable(Generic[ValueT]):
    """Holds the latest value that could be made from the files.

    Making it the first time raises `ConfigurationError`; later a broken file is
    logged once and the value before stays.
    """

    def __init__(self, files: Sequence[NamedFile], load: Callable[[], ValueT]) -> None:
        self._files = files
        self._load = load
        self._states = self._read_states()
        self._value = load()

    @property
    def value(self) -> ValueT:
        """Return the value in force."""
        return self._value

    async def async_refresh(self) -> None:
        """Make the value again if a file has changed; log the outcome."""
        files = ", ".join(str(file) for file in self._files)
        try:
            fresh = await asyncio.to_thread(self._load_changed)
        except ConfigurationError as err:
            log_message(
                message_type="credentials_kept",
                level="error",
                files=files,
                error=str(err),
            )
            return
        if fresh is not None:
            self._value = fresh
            log_message(message_type="credentials_reloaded", files=files)

    def _load_changed(self) -> ValueT | None:
        """Return a new value, None while the files are as they were.

        The states are read before the files. When certificate and key are replaced
        one after the other, the pair does not match in between; the second change
        then shows as one, and the pair is read again.
        """
        states = self._read_states()
        if states == self._states:
            return None
        self._states = states
        return self._load()

    def _read_states(self) -> list[tuple[int, ...]]:
        """Return the state of each file."""
        return [file.state() for file in self._files]
