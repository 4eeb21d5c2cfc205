"""A declaration as read from the store."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.config.config_object import ConfigObject


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredConfig:
    """The change and the version of the object that holds it."""

    change: ConfigObject
    version: int
