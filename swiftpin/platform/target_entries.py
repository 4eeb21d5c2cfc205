"""Targets' own entries in the store."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import asdict
from typing import Any, Final

import orjson

from swiftpin.exceptions import ConfigurationError
from swiftpin.model.target import Target
from swiftpin.model.target_life import TargetLife
from swiftpin.platform.names import MILLISECONDS
from swiftpin.platform.platform_object import PlatformObject

STATE_DRAINING: Final = "draining"


def decode_target(entry: PlatformObject) -> Target:
    """Return the target of an entry; raise `ConfigurationError` when malformed."""
    declared = entry.content
    try:
        about = declared["information"]
        # A target writes its state with the rest; the object's own field of the same
        # name, beside the specification, stays empty.
        status = declared["status"]
        return Target(
            # `born` is the Unix time of the target's start, in milliseconds.
            life=TargetLife(name=entry.name, started_ms=declared.get("born")),
            service=about["service"],
            address=declared["address"],
            zone=about["zone"],
            slots=int(about["slots"]),
            is_draining=status["state"] == STATE_DRAINING,
            cold_for=status.get("cold_ms", 0) / MILLISECONDS,
            revision=entry.revision,
        )
    except (KeyError, TypeError, ValueError) as err:
        raise ConfigurationError(f"entry of target {entry.name}: {err!r}") from err


def encode_target_list(targets: Iterable[Target]) -> bytes:
    """Return targets as instances tell each other."""
    return orjson.dumps([_encode(target) for target in targets])


def decode_target_list(encoded: bytes) -> list[Target]:
    """Return the targets that another instance told."""
    return [_decode(entry) for entry in orjson.loads(encoded)]


def _encode(target: Target) -> dict[str, Any]:
    """Return a target as a JSON object."""
    fields = asdict(target)
    del fields["life"]
    return fields | {"name": target.name, "started_ms": target.life.started_ms}


def _decode(fields: dict[str, Any]) -> Target:
    """Return the target in a JSON object."""
    life = TargetLife(name=fields.pop("name"), started_ms=fields.pop("started_ms"))
    return Target(life=life, **fields)
