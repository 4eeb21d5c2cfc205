"""The lease as it lies in the store."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any

from swiftpin.exceptions import ConfigurationError


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRecord:
    """Who assigns keys; `renewal` changes with each renewal."""

    holder: str
    """Incarnation that holds the lease; empty when it was given up."""

    peer: str
    """Address at which other instances reach the holder."""

    term: int
    renewal: int
    members: tuple[str, ...] = ()
    """Names of the instances that may take over as soon as the lease has run out; the
    holder asks these for votes while the store is away."""


def encode_lease(record: LeaseRecord) -> dict[str, Any]:
    """Return the content to store."""
    return asdict(record)


def decode_lease(content: object) -> LeaseRecord:
    """Return the record; raise `ConfigurationError` when it is malformed."""
    try:
        fields = dict(content)  # type: ignore[call-overload]  # checked by the calls
        fields["members"] = tuple(fields.get("members", ()))
        return LeaseRecord(**fields)
    except (TypeError, ValueError) as err:
        raise ConfigurationError(f"record of the lease: {err!r}") from err
