"""One life of a target: from the start of its process to its end."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetLife:
    """A target's name and start time.

    A target may restart under the same name. It then holds no keys and has lost its
    state, so everything known about a target is stored by `id`, which is unique per
    life. Stored by name, the grants of the previous life would be attributed to the
    restarted target.
    """

    name: str
    """Name of the target, the same in all of its lives."""

    started_ms: int | None = None
    """Unix time of the start in milliseconds, None if unknown. Start times are only
    compared for equality, because the clock of a target may be set back."""

    id: str = field(init=False)
    """Unique id of the life, used as the key of everything stored about it."""

    def __post_init__(self) -> None:
        started = "" if self.started_ms is None else f"@{self.started_ms}"
        object.__setattr__(self, "id", f"{self.name}{started}")

    def is_same_target(self, life_id: str) -> bool:
        """Return whether an id belongs to any life of the same target."""
        name, _, started = life_id.rpartition("@")
        return life_id == self.name or (name == self.name and started.isdecimal())
