"""What became of a write of a group's record."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.ownership.group_record import GroupRecord


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteDone:
    """One of our versions is in the store; it may be an earlier unsettled one."""

    record: GroupRecord


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteLost:
    """Another instance's version is in the store."""

    record: GroupRecord


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteUnsettled:
    """The store cannot be reached; the write may still take effect."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteBehind:
    """The store has a newer version of the lease that a reserved term followed.

    The write was not tried; the next one builds on this version.
    """

    record: GroupRecord


@dataclass(frozen=True, kw_only=True, slots=True)
class StillOurs:
    """The store shows the version that the writer knows."""


WriteResult = WriteDone | WriteLost | WriteUnsettled | WriteBehind
CheckResult = StillOurs | WriteDone | WriteLost | WriteUnsettled | WriteBehind
