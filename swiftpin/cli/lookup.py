"""Looking up of one declaration by its name."""

from __future__ import annotations

from swiftpin.cli.usage_error import UsageError
from swiftpin.config.config_name import ConfigName
from swiftpin.config.inventory import Inventory
from swiftpin.config.stored_config import StoredConfig
from swiftpin.config.suggestion import did_you_mean


def stored_named(inventory: Inventory, config_name: ConfigName) -> StoredConfig:
    """Return the declaration, retired or not; raise `UsageError` if there is none."""
    fault = inventory.faults_by_id.get(config_name)
    if fault is not None:
        raise UsageError(fault)
    stored = inventory.stored_by_id.get(config_name)
    if stored is not None:
        return stored
    hint = did_you_mean(config_name.name, inventory.names(config_name.kind))
    raise UsageError(f"there is no {config_name.label}{hint}")
