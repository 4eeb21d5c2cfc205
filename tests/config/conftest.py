"""Documents and changes that the tests of declarations share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.config_name import ConfigName
from swiftpin.config.config_object import ConfigObject

WORDS_BY_KIND = {
    ConfigKind.SERVICE: "Service",
    ConfigKind.PROFILE: "Profile",
    ConfigKind.PLANNED_STOP: "PlannedStop",
}

SPECS_BY_KIND: dict[ConfigKind, dict[str, Any]] = {
    ConfigKind.SERVICE: {
        "profile": "bookings",
        "keyed": True,
        "groups": 1,
        "targets": [{"id": "desk-1", "address": "127.0.0.1:18101", "zone": "a"}],
    },
    ConfigKind.PROFILE: {},
    ConfigKind.PLANNED_STOP: {"instance": "brno-a-1"},
}

MakeChange = Callable[..., ConfigObject]


@pytest.fixture
def make_change() -> MakeChange:
    """Return a maker of changes; `spec` fields are laid over a sound spec."""

    def make(
        kind: ConfigKind,
        name: str,
        generation: int,
        *,
        retired: bool = False,
        **spec: object,
    ) -> ConfigObject:
        return ConfigObject(
            id=ConfigName(kind=kind, name=name),
            generation=generation,
            writer=f"writer-{generation}",
            author="jana@ops",
            written_at=1_700_000_000.25,
            retired=retired,
            document={
                "apiVersion": "swiftpin/v1",
                "kind": WORDS_BY_KIND[kind],
                "metadata": {"name": name},
                "spec": {**SPECS_BY_KIND[kind], **spec},
            },
        )

    return make
