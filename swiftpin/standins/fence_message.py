"""Body of a fence call to a target."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from pydantic import ConfigDict


@dataclass(frozen=True, kw_only=True, slots=True)
class FenceMessage:
    """The term and holder that a target has to follow for a group."""

    __pydantic_config__: ClassVar[ConfigDict] = ConfigDict(extra="forbid")

    service: str
    group: int
    term: int
    holder: str
