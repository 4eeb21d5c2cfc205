"""The active configuration of this instance."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Final
import zlib

from eliot import log_message
import orjson

from swiftpin.core import callback
from swiftpin.exceptions import ConfigurationError
from swiftpin.helpers.json_fields import FieldError, load_json
from swiftpin.helpers.time_slices import run_time_slice
from swiftpin.model.configuration import Configuration
from swiftpin.platform.configuration import decode_configuration
from swiftpin.platform.names import NAME_CONFIGURATION
from swiftpin.platform.platform_object import PlatformObject
from swiftpin.router.configuration_lag import ConfigurationLag

COMPRESSION_LEVEL: Final = 1
"""zlib compression level; higher levels take longer and save little on JSON."""

Decoding = Generator[None, None, Configuration]
"""A decoding in progress that yields between slices."""

MAX_DOCUMENT_BYTES: Final = 64 * 1024 * 1024
"""Maximum size in bytes of a decompressed configuration; bounds the memory that a
neighbour's message can take."""


@callback
def _noop() -> None:
    """Do nothing."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Source:
    """Origin of a configuration that is being decoded."""

    name: str
    packed: bytes = b""
    on_done: Callable[[], None] = _noop
    """Called when the configuration is active or has been rejected."""


class ConfigurationHolder:
    """Holds the newest configuration received from the store or from neighbours."""

    def __init__(self) -> None:
        self.current: Configuration | None = None
        self.adopted_at = 0.0
        self.lag = ConfigurationLag()
        self.packed = b""
        """The active configuration as compressed JSON, to be sent to neighbours."""

        self.on_change: Callable[[], None] = _noop

    @property
    def version(self) -> int:
        """Return the active version, 0 if there is none yet."""
        return 0 if self.current is None else self.current.version

    @callback
    def note_announced_version(self, version: int, now: float) -> None:
        """Record that another instance announced its active version."""
        self.lag.record_announced(version, self.version, now)

    @callback
    def adopt_list(
        self, objects: tuple[PlatformObject, ...], revision: int, now: float
    ) -> None:
        """Adopt the configuration from a list of all objects of its kind."""
        self.adopt_changes(objects, revision, now)

    @callback
    def adopt_changes(
        self,
        objects: tuple[PlatformObject, ...],
        revision: int,
        now: float,
        *,
        is_catching_up: bool = False,
    ) -> None:
        """Adopt the configuration if it is among the changed objects."""
        for changed in objects:
            if changed.name == NAME_CONFIGURATION and not changed.is_deleted:
                self._adopt_stored(changed.content, now)

    @callback
    def resume_revision(self, revision: int) -> int | None:
        """Return None to request a new list.

        The list holds only one object, and the store may have discarded the revision.
        """
        return None

    @callback
    def adopt_packed(
        self, packed: bytes, now: float, on_done: Callable[[], None] | None = None
    ) -> None:
        """Adopt the configuration that a neighbour sent.

        `on_done` is called when it is active or has been rejected.
        """
        source = _Source(name="neighbour", packed=packed, on_done=on_done or _noop)
        try:
            document = load_json(_decompress(packed))
        except (FieldError, zlib.error) as err:
            self._reject(source, str(err))
            return
        self._decode(decode_configuration(document), source, now)

    @callback
    def _adopt_stored(self, document: object, now: float) -> None:
        """Adopt the configuration read from the store."""
        try:
            packed = _compress(document)
        except ConfigurationError as err:
            self._reject(_Source(name="store"), str(err))
            return
        source = _Source(name="store", packed=packed)
        self._decode(decode_configuration(document), source, now)

    @callback
    def _decode(self, decoding: Decoding, source: _Source, now: float) -> None:
        """Decode one slice; large documents yield to the event loop between slices."""
        try:
            finished = run_time_slice(decoding)
        except ConfigurationError as err:
            self._reject(source, str(err))
            return
        if finished is None:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._decode, decoding, source, now)
            return
        self._adopt(finished.result, source, now)
        source.on_done()

    @callback
    def _reject(self, source: _Source, error: str) -> None:
        """Log a configuration that is unreadable; the active one stays."""
        log_message(
            message_type="configuration_refused",
            level="error",
            source=source.name,
            error=error,
        )
        source.on_done()

    @callback
    def _adopt(self, configuration: Configuration, source: _Source, now: float) -> None:
        """Activate a configuration if its version is higher."""
        if configuration.version < self.version:
            log_message(
                message_type="stale_update_refused",
                source=source.name,
                configuration=configuration.version,
                known=self.version,
            )
        if configuration.version <= self.version:
            return
        log_message(
            message_type="configuration_adopted",
            version=configuration.version,
            before=self.version,
            source=source.name,
            services=len(configuration.services_by_name),
        )
        self.current = configuration
        self.adopted_at = now
        self.packed = source.packed
        self.lag.record_adopted(configuration.version)
        self.on_change()


@callback
def _compress(document: object) -> bytes:
    """Return a document as compressed JSON for neighbours.

    Raises `ConfigurationError` if it is not serialisable.
    """
    try:
        return zlib.compress(orjson.dumps(document), COMPRESSION_LEVEL)
    except TypeError as err:
        raise ConfigurationError(f"configuration: {err}") from err


@callback
def _decompress(packed: bytes) -> bytes:
    """Return the JSON text that a neighbour compressed.

    Raises `zlib.error` if the data is corrupt.
    """
    return zlib.decompressobj().decompress(packed, MAX_DOCUMENT_BYTES)
