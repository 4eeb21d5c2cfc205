"""Error of a write whose outcome could not be found out."""

from __future__ import annotations

from swiftpin.config.config_object import ConfigObject
from swiftpin.exceptions import StoreOutcomeUnknownError


class ChangeUnsettledError(StoreOutcomeUnknownError):
    """The change may or may not be in force; `change` is what was sent."""

    def __init__(self, change: ConfigObject) -> None:
        self.change = change
        super().__init__(
            f"it is not known whether {change.id.label} generation "
            f"{change.generation} (writer {change.writer}) took effect: the store's "
            "answer was lost and it cannot be read now"
        )
