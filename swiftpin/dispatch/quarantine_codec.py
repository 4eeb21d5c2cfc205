"""Stored form of a service's quarantine."""

from __future__ import annotations

from collections.abc import Iterable

import orjson
from pydantic import BaseModel, ValidationError

from swiftpin.dispatch.exceptions import PageCorruptError
from swiftpin.dispatch.quarantine_entry import QuarantineEntry
from swiftpin.dispatch.target_death import TargetDeath


class _DeathModel(BaseModel):
    id: str
    alone: bool


class _EntryModel(BaseModel):
    fingerprint: str
    label: str
    deaths: list[_DeathModel]
    changed_at: int


class _QuarantineModel(BaseModel):
    entries: list[_EntryModel]


def encode_quarantine(entries: Iterable[QuarantineEntry]) -> bytes:
    """Return the body of the object."""
    return orjson.dumps(
        {
            "entries": [
                {
                    "fingerprint": entry.fingerprint,
                    "label": entry.label,
                    "deaths": [
                        {"id": death.id, "alone": death.alone}
                        for death in sorted(entry.deaths)
                    ],
                    "changed_at": entry.changed_at,
                }
                for entry in entries
            ],
        }
    )


def decode_quarantine(body: bytes) -> dict[str, QuarantineEntry]:
    """Return the entries by fingerprint; raise `PageCorruptError`."""
    try:
        model = _QuarantineModel.model_validate_json(body)
    except ValidationError as err:
        raise PageCorruptError(f"quarantine: {err}") from err
    return {
        entry.fingerprint: QuarantineEntry(
            fingerprint=entry.fingerprint,
            label=entry.label,
            deaths=frozenset(
                TargetDeath(id=death.id, alone=death.alone) for death in entry.deaths
            ),
            changed_at=entry.changed_at,
        )
        for entry in model.entries
    }
