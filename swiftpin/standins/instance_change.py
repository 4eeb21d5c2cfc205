"""A change of the stand-in instance list."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from pydantic import ConfigDict

from swiftpin.standins.instance_state import InstanceState


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceChange:
    """New state of an instance; fields left out stay as they are.

    For an instance not listed yet all fields are needed.
    """

    __pydantic_config__: ClassVar[ConfigDict] = ConfigDict(extra="forbid")

    state: InstanceState = InstanceState.LIVE
    zone: str | None = None
    peer: str | None = None
    forward: str | None = None
    admin: str | None = None
