"""JSON form of group records."""

from __future__ import annotations

import orjson

from swiftpin.exceptions import StoreError
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.placement.key_exception import KeyException
from swiftpin.ownership.slice_assignment import SliceAssignment


def encode_record(record: GroupRecord) -> bytes:
    """Return the record as stored; slices are [slice, target, term, standby].

    Key exceptions are [key, slice, home slice].
    """
    slices = [
        [slice_id, item.target, item.term, item.standby]
        for slice_id, item in sorted(record.slices_by_id.items())
    ]
    return orjson.dumps(
        {
            "service": record.id.service,
            "group": record.id.group,
            "term": record.term,
            "revision": record.revision,
            "holder": record.holder,
            "successor": record.successor,
            "writer": record.writer,
            "reason": record.reason,
            "targets": sorted(record.targets),
            "slices": slices,
            "boots": dict(sorted(record.boots_by_target.items())),
            "waits_outage": record.waits_outage,
            "starts_changed": record.starts_changed,
            "fenced": record.fenced,
            "exceptions": [
                [item.key, item.slice_id, item.home]
                for _, item in sorted(record.exceptions_by_key.items())
            ],
        }
    )


def decode_record(body: bytes) -> GroupRecord:
    """Return the record; raise `StoreError` when the body is not one."""
    try:
        raw = orjson.loads(body)
        slices_by_id = {
            slice_id: SliceAssignment(target=target, term=term, standby=standby)
            for slice_id, target, term, standby in raw["slices"]
        }
        exceptions_by_key = {
            key: KeyException(key=key, slice_id=slice_id, home=home)
            for key, slice_id, home in raw.get("exceptions", [])
        }
        return GroupRecord(
            id=GroupId(service=raw["service"], group=raw["group"]),
            term=raw["term"],
            revision=raw["revision"],
            holder=raw["holder"],
            successor=raw["successor"],
            writer=raw["writer"],
            reason=raw["reason"],
            targets=frozenset(raw["targets"]),
            slices_by_id=slices_by_id,
            exceptions_by_key=exceptions_by_key,
            boots_by_target=dict(raw.get("boots", {})),
            waits_outage=bool(raw.get("waits_outage", False)),
            starts_changed=bool(raw.get("starts_changed", False)),
            fenced=bool(raw.get("fenced", False)),
        )
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as err:
        raise StoreError(f"not a group record: {err!r}") from err
