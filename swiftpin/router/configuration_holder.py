"""The configuration in force at this instance."""

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
from swiftpin.helpers.time_slices import run_time_slice
from swiftpin.model.configuration import Configuration
from swiftpin.platform.configuration import decode_configuration
from swiftpin.platform.json_fields import FieldError, load_json
from swiftpin.platform.names import NAME_CONFIGURATION
from swiftpin.platform.platform_object import PlatformObject
from swiftpin.router.configuration_lag import ConfigurationLag

COMPRESSION_LEVEL: Final = 1
"""Level of zlib's compression; higher ones take longer and save little of JSON."""

Decoding = Generator[None, None, Configuration]
"""A configuration that is being decoded."""

MAX_DOCUMENT_BYTES: Final = 64 * 1024 * 1024
"""Bytes of a configuration at most that is unpacked."""


@callback
def _noop() -> None:
    """Do nothing."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Source:
    """Where a configuration comes from."""

    name: str
    packed: bytes = b""
    on_done: Callable[[], None] = _noop
    """Called when it is in force or refused."""


class ConfigurationHolder:
    """Adopts only higher versions, from the store or from neighbours."""

    def __init__(self) -> None:
        self.current: Configuration | None = None
        self.adopted_at = 0.0
        self.lag = ConfigurationLag()
        self.packed = b""
        """What the version in force was read from, for neighbours."""

        self.on_change: Callable[[], None] = _noop

    @property
    def version(self) -> int:
        """Return the version in force, 0 before there is one."""
        return 0 if self.current is None else self.current.version

    @callback
    def note_announced_version(self, version: int, now: float) -> None:
        """Note that another instance has a version in force."""
        self.lag.record_announced(version, self.version, now)

    @callback
    def adopt_list(
        self, objects: tuple[PlatformObject, ...], revision: int, now: float
    ) -> None:
        """Take the configuration out of a list of its kind."""
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
        """Take a changed configuration."""
        for changed in objects:
            if changed.name == NAME_CONFIGURATION and not changed.is_deleted:
                self._adopt_stored(changed.content, now)

    @callback
    def resume_revision(self, revision: int) -> int | None:
        """Return None: the list holds one object, and the revision may be long gone."""
        return None

    @callback
    def adopt_packed(
        self, packed: bytes, now: float, on_done: Callable[[], None] | None = None
    ) -> None:
        """Take the configuration that a neighbour sent.

        `on_done` is called when it is in force or refused.
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
        """Take the configuration that the store holds."""
        try:
            packed = _compress(document)
        except ConfigurationError as err:
            self._reject(_Source(name="store"), str(err))
            return
        source = _Source(name="store", packed=packed)
        self._decode(decode_configuration(document), source, now)

    @callback
    def _decode(self, decoding: Decoding, source: _Source, now: float) -> None:
        """Go on with decoding; a long document lets others go on in between."""
        try:
            done = run_time_slice(decoding)
        except ConfigurationError as err:
            self._reject(source, str(err))
            return
        if done is None:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._decode, decoding, source, now)
            return
        self._adopt(done.result, source, now)
        source.on_done()

    @callback
    def _reject(self, source: _Source, error: str) -> None:
        """Note a configuration that can't be read; the one in force stays."""
        log_message(
            message_type="configuration_refused",
            level="error",
            source=source.name,
            error=error,
        )
        source.on_done()

    @callback
    def _adopt(self, configuration: Configuration, source: _Source, now: float) -> None:
        """Put a configuration in force if its version is higher."""
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
    """Return a document for neighbours; raise `ConfigurationError` if it can't be."""
    try:
        return zlib.compress(orjson.dumps(document), COMPRESSION_LEVEL)
    except TypeError as err:
        raise ConfigurationError(f"configuration: {err}") from err


@callback
def _decompress(packed: bytes) -> bytes:
    """Return what a neighbour packed; raise `zlib.error` if it is not readable."""
    return zlib.decompressobj().decompress(packed, MAX_DOCUMENT_BYTES)
