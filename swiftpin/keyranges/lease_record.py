"""The stored record of the lease."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any

from swiftpin.exceptions import ConfigurationError
from swiftpin.helpers.json_fields import (
    FieldError,
    read_field,
    read_integer,
    read_list,
    read_mapping,
    read_string,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRecord:
    """Content of the lease record; the holder of the lease assigns keys."""

    holder: str
    """Incarnation that holds the lease; empty if it was given up."""

    peer: str
    """Address at which other instances reach the holder."""

    term: int
    renewal: int
    """Number of renewals since the holder acquired the lease."""

    era: int = 0
    """Store era in which the record was written."""

    members: tuple[str, ...] = ()
    """Names of the instances that may take over as soon as the lease has expired. The
    holder asks them for votes while the store is unavailable."""


def encode_lease(record: LeaseRecord) -> dict[str, Any]:
    """Return the content of the stored record."""
    return asdict(record) | {"members": list(record.members)}


def decode_lease(content: object) -> LeaseRecord:
    """Return the record in some content; raise `ConfigurationError` if malformed."""
    try:
        fields = read_mapping(content, "the record")
        members = read_list(fields.get("members", []), "members")
        return LeaseRecord(
            holder=read_string(
                read_field(fields, "holder"), "holder", may_be_empty=True
            ),
            peer=read_string(read_field(fields, "peer"), "peer", may_be_empty=True),
            term=read_integer(read_field(fields, "term"), "term"),
            renewal=read_integer(read_field(fields, "renewal"), "renewal"),
            era=read_integer(fields.get("era", 0), "era"),
            members=tuple(read_string(member, "a member") for member in members),
        )
    except FieldError as err:
        raise ConfigurationError(f"record of the lease: {err}") from err
