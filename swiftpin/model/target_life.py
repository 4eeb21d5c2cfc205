"""One life of a target: from a start of its process to its end."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetLife:
    """A name and a start.

    A target may start again under the name that it had. It then holds no keys and knows
    nothing of before, so whatever is remembered of a target is kept by `id`, which no
    two lives share. The name alone would make a target that has just started look as
    if it still held what was granted before.
    """

    name: str
    """What the target answers to; the same in each of its lives."""

    started_ms: int | None = None
    """Unix time of its start in milliseconds, None where it is not told. Two starts are
    only compared for equality: the clocks that tell them may be set back."""

    id: str = field(init=False)
    """Key of everything that is remembered of the life."""

    def __post_init__(self) -> None:
        started = "" if self.started_ms is None else f"@{self.started_ms}"
        object.__setattr__(self, "id", f"{self.name}{started}")

    def is_same_target(self, life_id: str) -> bool:
        """Return whether an id is that of a life of the same target."""
        name, _, started = life_id.rpartition("@")
        return life_id == self.name or (name == self.name and started.isdecimal())
