"""Instance ids: `<name>/<incarnation>`."""

from __future__ import annotations

from typing import Final

_SEPARATOR: Final = "/"


def name_of(instance_id: str) -> str:
    """Return the instance's name, also of an id that is a bare name."""
    return instance_id.partition(_SEPARATOR)[0]


def incarnation_of(instance_id: str) -> str | None:
    """Return the incarnation, None for a bare name."""
    return instance_id.partition(_SEPARATOR)[2] or None


def is_meant(addressed: str, instance_id: str) -> bool:
    """Return whether a message to `addressed` is meant for the instance.

    A bare name means whichever incarnation runs under it.
    """
    return addressed in (instance_id, name_of(instance_id))
