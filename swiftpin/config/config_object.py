"""One accepted change of a declaration."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from swiftpin.config.config_name import ConfigName


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigObject:
    """A declaration with the facts of the change that made it.

    `generation` grows by one with each accepted change, 1 at first. `writer` is
    unique to the write, so that a writer whose answer was lost recognises its own.
    `author` is the operator, `written_at` Unix seconds of the writer's clock (for
    display only). A retired declaration keeps its last document.
    """

    id: ConfigName
    generation: int
    writer: str
    author: str
    written_at: float
    retired: bool = False
    document: dict[str, Any] = field(default_factory=dict)
