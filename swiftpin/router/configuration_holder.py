"""The configuration in force at this instance."""

from __future__ import annotations

from collections.abc import Callable

from eliot import log_message
import orjson

from swiftpin.core import callback
from swiftpin.exceptions import ConfigurationError
from swiftpin.model.configuration import Configuration
from swiftpin.platform.configuration import decode_configuration
from swiftpin.platform.names import NAME_CONFIGURATION
from swiftpin.platform.platform_object import PlatformObject


class ConfigurationHolder:
    """Adopts only higher versions, from the store or from neighbours."""

    def __init__(self) -> None:
        self.current: Configuration | None = None
        self.adopted_at = 0.0
        self.encoded = b""
        self.on_change: Callable[[], None] = _ignore

    @property
    def version(self) -> int:
        """Return the version in force, 0 before there is one."""
        return 0 if self.current is None else self.current.version

    @callback
    def adopt_list(
        self, objects: tuple[PlatformObject, ...], revision: int, now: float
    ) -> None:
        """Take the configuration out of a list of its kind."""
        for entry in objects:
            self.adopt_change(entry, revision, now)

    @callback
    def adopt_change(self, changed: PlatformObject, revision: int, now: float) -> None:
        """Take a changed configuration."""
        if changed.name != NAME_CONFIGURATION or changed.is_deleted:
            return
        self._adopt(changed.content, "store", now)

    @callback
    def adopt_encoded(self, encoded: bytes, now: float) -> None:
        """Take the configuration that a neighbour sent."""
        self._adopt(orjson.loads(encoded), "neighbour", now)

    @callback
    def _adopt(self, document: dict[str, object], source: str, now: float) -> None:
        """Put a document in force if its version is higher."""
        try:
            configuration = decode_configuration(document)
        except ConfigurationError as err:
            log_message(
                message_type="configuration_refused", level="error", error=str(err)
            )
            return
        if configuration.version <= self.version:
            return
        log_message(
            message_type="configuration_adopted",
            version=configuration.version,
            before=self.version,
            source=source,
            services=len(configuration.services_by_name),
        )
        self.current = configuration
        self.adopted_at = now
        self.encoded = orjson.dumps(document)
        self.on_change()


@callback
def _ignore() -> None:
    """Do nothing."""
