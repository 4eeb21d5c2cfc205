"""Declarations in the store, read and changed by operators' tools."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Final

from swiftpin.config.change_unsettled_error import ChangeUnsettledError
from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.config_name import ConfigName
from swiftpin.config.config_object import ConfigObject
from swiftpin.config.envelope import decode_config_object, encode_config_object
from swiftpin.config.inventory import Inventory
from swiftpin.config.lost_race_error import LostRaceError
from swiftpin.config.stored_config import StoredConfig
from swiftpin.config.write_outcome import WriteOutcome
from swiftpin.const import STORE_PREFIX_CONFIG
from swiftpin.exceptions import (
    ConfigurationError,
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from swiftpin.store.client import ABSENT, StoreClient
from swiftpin.store.stored_object import StoredObject

HISTORY_LIMIT: Final = 20
"""Earlier generations that are kept of each declaration."""

SETTLE_DELAYS: Final = (0.1, 0.2, 0.4, 0.8, 1.6, 2.0, 2.0, 2.0)
"""Seconds between attempts to find out what became of a write."""


class ConfigRepository:
    """Reads declarations and makes one change at a time.

    Every change replaces exactly the version that the operator saw.
    """

    def __init__(
        self, store: StoreClient, *, settle_delays: Sequence[float] = SETTLE_DELAYS
    ) -> None:
        self._store = store
        self._settle_delays = tuple(settle_delays)

    async def async_read_all(self) -> Inventory:
        """Return all declarations; raise `StoreUnavailableError` without the store."""
        inventory = Inventory()
        for kind in ConfigKind:
            prefix = f"{STORE_PREFIX_CONFIG}{kind}/"
            listing = await self._store.async_list(prefix, bodies=True)
            for item in listing.objects_by_name.values():
                _file(inventory, item)
        return inventory

    async def async_read(self, config_name: ConfigName) -> StoredConfig | None:
        """Return one declaration, None when it never existed."""
        item = await self._store.async_get(config_name.store_name)
        return None if item is None else _decode(config_name, item)

    async def async_read_history(self, config_name: ConfigName) -> list[ConfigObject]:
        """Return the kept generations, oldest first, the present one at the end."""
        present = await self.async_read(config_name)
        if present is None:
            return []
        prefix = config_name.history_prefix
        listing = await self._store.async_list(prefix, bodies=True)
        earlier = [
            decode_config_object(config_name, item.body)
            for item in listing.objects_by_name.values()
        ]
        changes_by_generation = {
            item.generation: item for item in [*earlier, present.change]
        }
        return [changes_by_generation[key] for key in sorted(changes_by_generation)]

    async def async_write(
        self, change: ConfigObject, replaced: StoredConfig | None
    ) -> WriteOutcome:
        """Make a change; return once it is known to have taken effect.

        Raises `LostRaceError` and `StoreUnavailableError` when it certainly had no
        effect, `ChangeUnsettledError` when that could not be found out.
        """
        if replaced is not None:
            await self._async_archive(replaced.change)
        expect = ABSENT if replaced is None else replaced.version
        try:
            await self._async_put(change, expect)
            outcome = WriteOutcome.ANSWERED
        except (StoreConflictError, StoreOutcomeUnknownError):
            # An HTTP client may send a PUT again when a kept connection breaks; the
            # second one then loses against the first. One would notice an operator
            # told of a race with himself. So a conflict is looked into as well.
            await self._async_settle(change, expect)
            outcome = WriteOutcome.READ_BACK
        await self._async_forget_oldest(change)
        return outcome

    async def _async_put(self, change: ConfigObject, expect: int) -> None:
        """Send the conditional write."""
        body = encode_config_object(change)
        await self._store.async_put(change.id.store_name, body, expect=expect)

    async def _async_archive(self, change: ConfigObject) -> None:
        """Keep the generation that is about to be replaced.

        It is kept before it is replaced, so that no generation is missing when the
        operator's process ends in between; whoever replaces the same generation
        keeps the same bytes.
        """
        name = change.id.history_name(change.generation)
        body = encode_config_object(change)
        for delay in self._settle_delays:
            try:
                await self._store.async_put(name, body, expect=ABSENT)
            except StoreConflictError:
                return
            except StoreOutcomeUnknownError:
                await asyncio.sleep(delay)
            else:
                return
        raise StoreUnavailableError(f"no answer about {name}")

    async def _async_settle(self, change: ConfigObject, expect: int) -> None:
        """Find out what became of a write, sending it again where that is safe."""
        for delay in self._settle_delays:
            try:
                if await self._async_took_effect(change, expect):
                    return
            except (
                StoreConflictError,
                StoreOutcomeUnknownError,
                StoreUnavailableError,
            ):
                pass
            await asyncio.sleep(delay)
        raise ChangeUnsettledError(change)

    async def _async_took_effect(self, change: ConfigObject, expect: int) -> bool:
        """Return whether the change is in the store; raise when it lost a race.

        False, and any error of the store, mean that it is not known yet.
        An unchanged object does not show that the write failed: it may be under way
        and take effect after the operator was told otherwise. Sending it again with
        the same condition settles it, since only one of both can take effect.
        """
        item = await self._store.async_get(change.id.store_name)
        if (ABSENT if item is None else item.version) == expect:
            await self._async_put(change, expect)
            return True
        if item is None:
            raise LostRaceError(change.id, None)
        if item.version < expect:
            # A slow replica answered with a state from before the write. To judge by
            # it would tell an operator of a race although the change is in force.
            return False
        present = _decode(change.id, item).change
        if present.writer == change.writer:
            return True
        if await self._async_was_replaced(change, present):
            return True
        raise LostRaceError(change.id, present)

    async def _async_was_replaced(
        self, change: ConfigObject, present: ConfigObject
    ) -> bool:
        """Return whether the change took effect and was then replaced."""
        if present.generation <= change.generation:
            return False
        name = change.id.history_name(change.generation)
        item = await self._store.async_get(name)
        if item is None:
            return False
        return decode_config_object(change.id, item.body).writer == change.writer

    async def _async_forget_oldest(self, change: ConfigObject) -> None:
        """Delete kept generations beyond the limit; the next change catches up."""
        prefix = change.id.history_prefix
        newest_to_delete = change.generation - HISTORY_LIMIT - 1
        if newest_to_delete < 1:
            return
        try:
            listing = await self._store.async_list(prefix)
            for name in listing.objects_by_name:
                if int(name.removeprefix(prefix)) <= newest_to_delete:
                    await self._store.async_delete(name)
        except StoreError:
            return


def _decode(config_name: ConfigName, item: StoredObject) -> StoredConfig:
    """Return the declaration that an object holds."""
    change = decode_config_object(config_name, item.body)
    return StoredConfig(change=change, version=item.version)


def _file(inventory: Inventory, item: StoredObject) -> None:
    """Put an object into the inventory, as a fault when it cannot be read.

    One broken object must not keep operators from all others.
    """
    config_name = ConfigName.from_store_name(item.name)
    if config_name is None:
        return
    try:
        inventory.stored_by_id[config_name] = _decode(config_name, item)
    except ConfigurationError as err:
        inventory.faults_by_id[config_name] = str(err)
