"""An operator who changes profiles."""

from __future__ import annotations

from random import Random
import time
from typing import Any, Final
from uuid import uuid4

from swiftpin.bench.experiments.config_accepted import AcceptedChange
from swiftpin.config.config_name import ConfigName
from swiftpin.config.document import document_of
from swiftpin.config.models.declaration_models import (
    API_VERSION,
    ProfileModel,
)
from swiftpin.config.models.metadata_model import MetadataModel
from swiftpin.config.models.profile_spec_model import ProfileSpecModel
from swiftpin.config.plan import plan_document, plan_retirement
from swiftpin.config.planned_change import PlannedChange
from swiftpin.config.repository import ConfigRepository
from swiftpin.config.stored_config import StoredConfig
from swiftpin.config.write_outcome import WriteOutcome

RETIRE_SHARE: Final = 0.1
MAX_QUEUE_LENGTH: Final = 100_000


class ConfigOperator:
    """Makes changes by the same calls as the operators' command.

    `retires` lets every tenth change or so retire the profile; the next one brings
    it back.
    """

    def __init__(
        self,
        repository: ConfigRepository,
        *,
        name: str,
        random: Random,
        retires: bool = False,
    ) -> None:
        self._repository = repository
        self._name = name
        self._random = random
        self._retires = retires

    async def async_change(
        self, profile: ConfigName, spec: ProfileSpecModel
    ) -> AcceptedChange:
        """Change the profile's queue length, or retire it.

        Raises `LostRaceError` and `ChangeUnsettledError` as the repository does.
        """
        before = await self._repository.async_read(profile)
        change = self._plan(profile, spec, before)
        writer = uuid4().hex
        began_at = time.time()
        signed = change.signed(author=self._name, writer=writer, written_at=began_at)
        outcome = await self._repository.async_write(signed, change.before)
        return AcceptedChange(
            label=profile.label,
            generation=signed.generation,
            writer=writer,
            began_at=began_at,
            accepted_at=time.time(),
            read_back=outcome is WriteOutcome.READ_BACK,
        )

    def _plan(
        self, profile: ConfigName, spec: ProfileSpecModel, before: StoredConfig | None
    ) -> PlannedChange:
        """Return the next change."""
        if before is not None and self._is_to_retire(before):
            return plan_retirement(before)
        return plan_document(profile, self._document(profile, spec), before)

    def _is_to_retire(self, before: StoredConfig) -> bool:
        """Return whether the next change takes the profile out of force."""
        if before.change.retired or not self._retires:
            return False
        return self._random.random() < RETIRE_SHARE

    def _document(self, profile: ConfigName, spec: ProfileSpecModel) -> dict[str, Any]:
        """Return the profile with another queue length."""
        length = self._random.randint(1, MAX_QUEUE_LENGTH)
        model = ProfileModel(
            apiVersion=API_VERSION,
            kind="Profile",
            metadata=MetadataModel(name=profile.name),
            spec=spec.model_copy(update={"queue_length": length}),
        )
        return document_of(model)
