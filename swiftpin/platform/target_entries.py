"""Decoding of targets' entries in the store."""

from __future__ import annotations

from typing import Any, Final

from swiftpin.helpers.address import is_valid_host, parse_address
from swiftpin.helpers.json_fields import (
    FieldError,
    FieldRangeError,
    read_field,
    read_integer,
    read_mapping,
    read_number,
    read_string,
)
from swiftpin.model.target import Target
from swiftpin.model.target_life import TargetLife
from swiftpin.model.unusable_entry import UnusableEntryError, UnusableReason
from swiftpin.platform.names import MILLISECONDS_PER_SECOND
from swiftpin.platform.platform_object import PlatformObject

STATE_READY: Final = "ready"
STATE_DRAINING: Final = "draining"

MAX_SLOTS: Final = 100_000
"""Maximum slots that a target may declare: far more than any server has, but few enough
for a queue sized by them."""

MAX_COLD_MILLISECONDS: Final = 3_600_000.0
"""Maximum cold time that a target may declare."""


class _UnknownStateError(FieldError):
    """The state of an entry is unknown."""


def decode_target(entry: PlatformObject) -> Target:
    """Decode the target of an entry; raise `UnusableEntryError` if it is invalid."""
    if not entry.is_readable:
        raise UnusableEntryError(
            entry.name, UnusableReason.METADATA, "its metadata is malformed"
        )
    try:
        return _decode_entry(entry)
    except FieldError as err:
        raise UnusableEntryError(entry.name, unusable_reason(err), str(err)) from err


def unusable_reason(err: FieldError) -> UnusableReason:
    """Return the reason under which an error is counted."""
    match err:
        case _UnknownStateError():
            return UnusableReason.STATE
        case FieldRangeError():
            return UnusableReason.RANGE
        case _:
            return UnusableReason.FIELD


def _decode_entry(entry: PlatformObject) -> Target:
    """Decode the target of an entry."""
    declared = read_mapping(entry.content, "the entry")
    information = read_mapping(read_field(declared, "information"), "information")
    # A target writes its status into the specification; the object's field of the same
    # name stays empty.
    status = read_mapping(read_field(declared, "status"), "status")
    # Not used, but an entry without these fields is not from a target.
    read_string(read_field(information, "version"), "version")
    read_integer(read_field(status, "sequence"), "sequence")
    cold = read_number(
        read_field(status, "cold_ms"), "cold_ms", maximum=MAX_COLD_MILLISECONDS
    )
    return Target(
        life=TargetLife(name=entry.name, started_ms=_read_start(declared)),
        service=read_string(read_field(information, "service"), "service"),
        address=read_address(read_field(declared, "address")),
        zone=read_string(read_field(information, "zone"), "zone"),
        slots=read_slots(read_field(information, "slots")),
        is_draining=_read_state(read_field(status, "state")) == STATE_DRAINING,
        cold_for=cold / MILLISECONDS_PER_SECOND,
        revision=entry.revision,
    )


def _read_start(declared: dict[str, Any]) -> int | None:
    """Return the Unix time of a target's start in milliseconds, None if missing."""
    if "born" not in declared:
        return None
    return read_integer(declared["born"], "born")


def _read_state(value: object) -> str:
    """Return a known state; raise an error for any other.

    Treated as ready, a target in an unknown state would receive requests that it may
    not be able to run.
    """
    state = read_string(value, "state")
    if state not in (STATE_READY, STATE_DRAINING):
        raise _UnknownStateError(f"state {state!r} is unknown")
    return state


def read_slots(value: object) -> int:
    """Return the number of requests that a target processes concurrently."""
    return read_integer(value, "slots", minimum=1, maximum=MAX_SLOTS)


def read_address(value: object) -> str:
    """Return an address that must contain a port."""
    text = read_string(value, "address")
    try:
        address = parse_address(text)
    except ValueError as err:
        raise FieldRangeError(str(err)) from err
    if not address.port or not is_valid_host(address.host):
        raise FieldRangeError(f"address {text!r} has no valid host or port")
    return text
