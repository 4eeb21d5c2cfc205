"""Order of the versions of one store object."""

from __future__ import annotations

from dataclasses import dataclass

import orjson

from swiftpin.const import STORE_PREFIX_GROUPS
from swiftpin.membership.malformed_object_error import MalformedObjectError


@dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """Place of one version in the history of its object; greater is newer."""

    major: int
    minor: int


def stamp_of(name: str, version: int, body: bytes) -> Stamp:
    """Return the stamp of a store object.

    A group's record is ordered by its term and revision, because a takeover without
    the store has no store version; every other object by `version`, the store's.
    Raises `MalformedObjectError` when a record states neither.
    """
    if not name.startswith(STORE_PREFIX_GROUPS):
        return Stamp(version, 0)
    try:
        document = orjson.loads(body)
        return Stamp(int(document["term"]), int(document["revision"]))
    except (ValueError, KeyError, TypeError) as err:
        raise MalformedObjectError(f"{name} states no term and revision") from err
