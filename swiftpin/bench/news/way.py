"""Ways to spread news that are measured against each other."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Final

from swiftpin.membership.news_settings import NewsSettings

_EVERYBODY: Final = 1_000_000
_NEVER: Final = 1e9
_CHOSEN: Final = NewsSettings()


@dataclass(frozen=True, kw_only=True, slots=True)
class Way:
    """A name and the settings that make it."""

    name: str
    settings: NewsSettings


WAYS_BY_NAME: Final = {
    way.name: way
    for way in (
        Way(name="announce", settings=_CHOSEN),
        Way(name="eager", settings=replace(_CHOSEN, announce_size=1 << 30)),
        Way(name="no-spares", settings=replace(_CHOSEN, spares=0)),
        Way(name="digest-only", settings=replace(_CHOSEN, fan_out=0, spares=0)),
        Way(name="push-only", settings=replace(_CHOSEN, compare_interval=_NEVER)),
        Way(
            name="store-only",
            settings=replace(
                _CHOSEN,
                fan_out=0,
                spares=0,
                compare_interval=_NEVER,
                watchers_per_zone=_EVERYBODY,
            ),
        ),
    )
}
