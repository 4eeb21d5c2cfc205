"""A value that is loaded from files and reloaded when they change."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Generic, TypeVar

from eliot import log_message

from swiftpin.exceptions import ConfigurationError
from swiftpin.security.named_file import NamedFile

ValueT = TypeVar("ValueT")


class Reloadable(Generic[ValueT]):
    """Holds the value that was last loaded successfully from the files.

    The first load raises `ConfigurationError` if a file is invalid; later an invalid
    file is logged once and the previous value stays in use.
    """

    def __init__(self, files: Sequence[NamedFile], load: Callable[[], ValueT]) -> None:
        self._files = files
        self._load = load
        self._states = self._read_states()
        self._value = load()

    @property
    def value(self) -> ValueT:
        """Return the current value."""
        return self._value

    async def async_refresh(self) -> None:
        """Reload the value if a file has changed; log the outcome."""
        files = ", ".join(str(file) for file in self._files)
        try:
            new_value = await asyncio.to_thread(self._load_changed)
        except ConfigurationError as err:
            log_message(
                message_type="credentials_kept",
                level="error",
                files=files,
                error=str(err),
            )
            return
        if new_value is not None:
            self._value = new_value
            log_message(message_type="credentials_reloaded", files=files)

    def _load_changed(self) -> ValueT | None:
        """Return a new value, None if the files are unchanged.

        The states are read before the files. If certificate and key are replaced one
        after the other, the pair does not match in between; the second replacement
        is then detected as another change, and the pair is loaded again.
        """
        states = self._read_states()
        if states == self._states:
            return None
        self._states = states
        return self._load()

    def _read_states(self) -> list[tuple[int, ...]]:
        """Return the state of each file."""
        return [file.state() for file in self._files]
