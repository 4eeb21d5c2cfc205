"""Error of an operator who lost a race."""

from __future__ import annotations

from datetime import UTC, datetime

from swiftpin.config.config_name import ConfigName
from swiftpin.config.config_object import ConfigObject
from swiftpin.exceptions import ConfigurationError


class LostRaceError(ConfigurationError):
    """Somebody changed the declaration since it was read; nothing was written.

    `present` is what is stored now, None when it is gone or could not be read.
    """

    def __init__(self, config_name: ConfigName, present: ConfigObject | None) -> None:
        self.config_name = config_name
        self.present = present
        super().__init__(f"{config_name.label} was not changed: {self._cause()}")

    def _cause(self) -> str:
        """Return who wrote what and when, as far as it is known."""
        if self.present is None:
            return "somebody else changed it meanwhile"
        moment = datetime.fromtimestamp(self.present.written_at, tz=UTC)
        deed = "retired it" if self.present.retired else "wrote it"
        return (
            f"{self.present.author} {deed} meanwhile "
            f"(generation {self.present.generation}, {moment:%Y-%m-%d %H:%M:%S} UTC, "
            f"writer {self.present.writer})"
        )
