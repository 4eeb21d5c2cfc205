"""Selection of the relays that an instance is told of."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from xxhash import xxh3_64_intdigest

from swiftpin.core import callback
from swiftpin.relays.relay import Relay

MAX_RELAYS: Final = 8
"""Maximum number of relays that an instance uses."""

MAX_LOST_SHARE: Final = 0.5
"""Share of lost links from which an instance is no relay. One with fewer refuses what
it can't send."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RelayCandidate:
    """An instance as its heartbeats describe it."""

    relay: Relay
    lost_links: int
    """Number of targets that the instance does not reach."""

    is_stopping: bool


@callback
def select_relays(
    candidates: Iterable[RelayCandidate],
    *,
    asker: str,
    zone: str,
    target_count: int,
) -> list[Relay]:
    """Return relays for an instance, those of its zone first.

    Which ones depends on the instance's own address, `asker`, so that the instances of
    a zone that is cut off spread their requests.
    """
    usable = [
        candidate.relay
        for candidate in candidates
        if candidate.relay.address not in ("", asker)
        and not candidate.is_stopping
        and candidate.lost_links <= MAX_LOST_SHARE * target_count
    ]
    return sorted(
        usable,
        key=lambda relay: (
            relay.zone != zone,
            xxh3_64_intdigest(f"{asker}\0{relay.address}"),
        ),
    )[:MAX_RELAYS]
