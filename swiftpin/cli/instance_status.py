"""What an instance says about itself."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.cli.held_group import HeldGroup


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceStatus:
    """Answer of an instance to `GET /v1/status`.

    `instance` is the instance id; `generations_by_name` the generation in force of
    each `kind/name`.
    """

    instance: str
    zone: str
    ready: bool
    leaving: bool
    generations_by_name: dict[str, int]
    groups_held: tuple[HeldGroup, ...]
