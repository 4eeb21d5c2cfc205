"""Targets' own entries in the store."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import asdict
from typing import Any, Final

import orjson

from swiftpin.helpers.address import parse_address
from swiftpin.model.target import Target
from swiftpin.model.target_life import TargetLife
from swiftpin.platform.json_fields import (
    FieldError,
    FieldRangeError,
    load_json,
    read_boolean,
    read_field,
    read_integer,
    read_list,
    read_mapping,
    read_number,
    read_string,
)
from swiftpin.platform.names import MILLISECONDS_PER_SECOND
from swiftpin.platform.platform_object import PlatformObject
from swiftpin.platform.unusable_entry import UnusableEntryError, UnusableReason

STATE_READY: Final = "ready"
STATE_DRAINING: Final = "draining"

MAX_SLOTS: Final = 100_000
"""Slots that a target may tell: far above any server's, and few enough that a queue
sized by them does no harm."""

MAX_COLD_MILLISECONDS: Final = 3_600_000.0
"""Milliseconds for which a target may say that it is slow after its start."""


class _UnknownStateError(FieldError):
    """An entry's state is none that is known."""


def decode_target(entry: PlatformObject) -> Target:
    """Return the target of an entry; raise `UnusableEntryError` if there is none."""
    if not entry.is_readable:
        raise UnusableEntryError(
            entry.name, UnusableReason.METADATA, "its metadata can't be read"
        )
    try:
        return _decode_entry(entry)
    except FieldError as err:
        raise UnusableEntryError(entry.name, _reason(err), str(err)) from err


def _reason(err: FieldError) -> UnusableReason:
    """Return the reason to count for an error."""
    match err:
        case _UnknownStateError():
            return UnusableReason.STATE
        case FieldRangeError():
            return UnusableReason.RANGE
        case _:
            return UnusableReason.FIELD


def _decode_entry(entry: PlatformObject) -> Target:
    """Return the target of an entry."""
    declared = read_mapping(entry.content, "the entry")
    about = read_mapping(read_field(declared, "information"), "information")
    # A target writes its state with the rest; the object's own field of the same name,
    # beside the specification, stays empty.
    status = read_mapping(read_field(declared, "status"), "status")
    # Not used here, but whoever does not tell them is not a target.
    read_string(read_field(about, "version"), "version")
    read_integer(read_field(status, "sequence"), "sequence")
    cold = read_number(
        read_field(status, "cold_ms"), "cold_ms", maximum=MAX_COLD_MILLISECONDS
    )
    return Target(
        life=TargetLife(name=entry.name, started_ms=_read_start(declared)),
        service=read_string(read_field(about, "service"), "service"),
        address=_read_address(read_field(declared, "address")),
        zone=read_string(read_field(about, "zone"), "zone"),
        slots=_read_slots(read_field(about, "slots")),
        is_draining=_read_state(read_field(status, "state")) == STATE_DRAINING,
        cold_for=cold / MILLISECONDS_PER_SECOND,
        revision=entry.revision,
    )


def _read_start(declared: dict[str, Any]) -> int | None:
    """Return the Unix time of a target's start in milliseconds, None if not told."""
    if "born" not in declared:
        return None
    return read_integer(declared["born"], "born")


def _read_state(value: object) -> str:
    """Return a state that is known.

    Taken for a target that serves, one in an unknown state would get requests that it
    may not run.
    """
    state = read_string(value, "state")
    if state not in (STATE_READY, STATE_DRAINING):
        raise _UnknownStateError(f"state {state!r} is not known")
    return state


def _read_slots(value: object) -> int:
    """Return how many requests a target runs at the same time."""
    return read_integer(value, "slots", minimum=1, maximum=MAX_SLOTS)


def _read_address(value: object) -> str:
    """Return an address with a port."""
    text = read_string(value, "address")
    try:
        port = parse_address(text).port
    except ValueError as err:
        raise FieldRangeError(str(err)) from err
    if not port:
        raise FieldRangeError(f"address {text!r} has no port")
    return text


def encode_target_list(targets: Iterable[Target]) -> bytes:
    """Return targets as instances tell each other."""
    return orjson.dumps([_encode(target) for target in targets])


def decode_target_list(encoded: bytes) -> list[Target]:
    """Return the targets that another instance told.

    Raises `UnusableEntryError` when one of them can't be read: instances tell what they
    have read, so nothing else of such a message is to be trusted.
    """
    try:
        entries = read_list(load_json(encoded), "the list")
        return [_decode(read_mapping(entry, "a target")) for entry in entries]
    except FieldError as err:
        raise UnusableEntryError("of a neighbour", _reason(err), str(err)) from err


def _encode(target: Target) -> dict[str, Any]:
    """Return a target as a JSON object."""
    fields = asdict(target)
    del fields["life"]
    return fields | {"name": target.name, "started_ms": target.life.started_ms}


def _decode(fields: dict[str, Any]) -> Target:
    """Return the target in a JSON object."""
    started = read_field(fields, "started_ms")
    return Target(
        life=TargetLife(
            name=read_string(read_field(fields, "name"), "name"),
            started_ms=None if started is None else read_integer(started, "started_ms"),
        ),
        service=read_string(read_field(fields, "service"), "service"),
        address=_read_address(read_field(fields, "address")),
        zone=read_string(read_field(fields, "zone"), "zone"),
        slots=_read_slots(read_field(fields, "slots")),
        is_draining=read_boolean(read_field(fields, "is_draining"), "is_draining"),
        cold_for=read_number(read_field(fields, "cold_for"), "cold_for"),
        revision=read_integer(read_field(fields, "revision"), "revision", minimum=1),
    )
