"""Errors about fields that contradict each other."""

from __future__ import annotations

from typing import Final

from pydantic_core import PydanticCustomError

CONTRADICTION: Final = "contradiction"


def contradiction(
    field_path: tuple[str | int, ...], message: str
) -> PydanticCustomError:
    """Return an error about the field at the path below the failing model."""
    return PydanticCustomError(
        CONTRADICTION, "{message}", {"message": message, "field_path": field_path}
    )
