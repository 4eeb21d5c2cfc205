"""Applies declarations to a cluster's store."""

from __future__ import annotations

import time
from typing import Final
from uuid import uuid4

from aiohttp import ClientSession

from swiftpin.config.change_kind import ChangeKind
from swiftpin.config.config_name import ConfigName
from swiftpin.config.document import document_of
from swiftpin.config.models.declaration_models import KINDS_BY_WORD, Declaration
from swiftpin.config.plan import plan_document
from swiftpin.config.repository import ConfigRepository
from swiftpin.store.client import StoreClient

AUTHOR: Final = "bench"


def name_of(declaration: Declaration) -> ConfigName:
    """Return kind and name of a declaration."""
    kind = KINDS_BY_WORD[declaration.kind]
    return ConfigName(kind=kind, name=declaration.metadata.name)


class DeclarationWriter:
    """Writes declarations the way the operators' command does."""

    def __init__(self, session: ClientSession, store_url: str) -> None:
        self._repository = ConfigRepository(StoreClient(session, store_url))

    async def async_apply(self, declarations: list[Declaration]) -> None:
        """Write the declarations that differ from the stored ones, in their order."""
        inventory = await self._repository.async_read_all()
        for declaration in declarations:
            config_name = name_of(declaration)
            change = plan_document(
                config_name,
                document_of(declaration),
                inventory.stored_by_id.get(config_name),
            )
            if change.kind is ChangeKind.UNCHANGED:
                continue
            signed = change.signed(
                author=AUTHOR, writer=uuid4().hex, written_at=time.time()
            )
            await self._repository.async_write(signed, change.before)
