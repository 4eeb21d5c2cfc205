"""Decided changes of the key exceptions of a group."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.ownership.placement.key_exception import KeyException


@dataclass(frozen=True, kw_only=True, slots=True)
class ExceptionPlan:
    """Keys to split out of their slices and exceptions to merge back.

    A split moves nothing: the new slice starts at the owner of its home. A merge is a
    move of one key when the exception's owner is not the owner of its home.
    """

    splits: tuple[KeyException, ...] = ()
    merges: tuple[KeyException, ...] = ()
