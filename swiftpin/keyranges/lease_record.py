"""The lease as it lies in the store."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any

from swiftpin.exceptions import ConfigurationError


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRecord:
    """Who assigns keys; `beat` changes with each renewal."""

    holder: str
    """Incarnation that holds the lease; empty when it was given up."""

    peer: str
    """Address at which other instances reach the holder."""

    term: int
    beat: int


def encode_lease(record: LeaseRecord) -> dict[str, Any]:
    """Return the content to store."""
    return asdict(record)


def decode_lease(content: object) -> LeaseRecord:
    """Return the record; raise `ConfigurationError` when it is malformed."""
    try:
        return LeaseRecord(**content)  # type: ignore[arg-type]  # checked by the call
    except TypeError as err:
        raise ConfigurationError(f"record of the lease: {err!r}") from err
