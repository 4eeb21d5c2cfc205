"""Lists of targets in messages between instances."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import asdict
from typing import Any

import orjson

from swiftpin.helpers.json_fields import (
    FieldError,
    load_json,
    read_boolean,
    read_field,
    read_integer,
    read_list,
    read_mapping,
    read_number,
    read_string,
)
from swiftpin.model.target import Target
from swiftpin.model.target_life import TargetLife
from swiftpin.model.unusable_entry import UnusableEntryError
from swiftpin.platform.target_entries import (
    read_address,
    read_slots,
    unusable_reason,
)


def encode_target_list(targets: Iterable[Target]) -> bytes:
    """Encode targets for a message to another instance."""
    return orjson.dumps([_encode(target) for target in targets])


def decode_target_list(encoded: bytes) -> list[Target]:
    """Decode targets from a message of another instance.

    Raises `UnusableEntryError` if one of them is malformed: instances send only valid
    targets, so the rest of such a message can't be trusted either.
    """
    try:
        entries = read_list(load_json(encoded), "the list")
        return [_decode(read_mapping(entry, "a target")) for entry in entries]
    except FieldError as err:
        raise UnusableEntryError(
            "of a neighbour", unusable_reason(err), str(err)
        ) from err


def _encode(target: Target) -> dict[str, Any]:
    """Encode a target as a JSON object."""
    fields = asdict(target)
    del fields["life"]
    return fields | {"name": target.name, "started_ms": target.life.started_ms}


def _decode(fields: dict[str, Any]) -> Target:
    """Decode a target from a JSON object."""
    started = read_field(fields, "started_ms")
    return Target(
        life=TargetLife(
            name=read_string(read_field(fields, "name"), "name"),
            started_ms=None if started is None else read_integer(started, "started_ms"),
        ),
        service=read_string(read_field(fields, "service"), "service"),
        address=read_address(read_field(fields, "address")),
        zone=read_string(read_field(fields, "zone"), "zone"),
        slots=read_slots(read_field(fields, "slots")),
        is_draining=read_boolean(read_field(fields, "is_draining"), "is_draining"),
        cold_for=read_number(read_field(fields, "cold_for"), "cold_for"),
        revision=read_integer(read_field(fields, "revision"), "revision", minimum=1),
    )
