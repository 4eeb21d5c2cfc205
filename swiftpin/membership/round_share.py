"""Share of the objects that fits into one round of repair."""

from __future__ import annotations

from collections.abc import Collection
from random import Random

from swiftpin.core import callback
from swiftpin.membership.cached_object import CachedObject
from swiftpin.membership.news_item import NewsItem
from swiftpin.membership.object_cache import ObjectCache


@callback
def choose_share(
    cache: ObjectCache, names: Collection[str], limit: int, random: Random
) -> list[CachedObject]:
    """Return some of the objects, up to a size in bytes but at least one.

    Their order is one of chance: in a fixed order an object too large to arrive in
    time would keep those after it from ever being repaired.
    """
    chosen: list[CachedObject] = []
    size = 0
    for name in random.sample(sorted(names), len(names)):
        obj = cache.get(name)
        if obj is None:
            continue
        size += NewsItem.whole(obj).size
        if chosen and size > limit:
            break
        chosen.append(obj)
    return chosen
