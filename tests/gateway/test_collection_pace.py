"""How often garbage is looked for."""

from __future__ import annotations

from collections.abc import Iterator
import gc

import pytest

from swiftpin.gateway.collection_pace import YOUNG_LIMIT, spread_collections


@pytest.fixture(autouse=True)
def kept_thresholds() -> Iterator[None]:
    """Give Python's own thresholds back."""
    thresholds = gc.get_threshold()
    yield
    gc.set_threshold(*thresholds)


def test_young_objects_are_looked_through_less_often() -> None:
    """Requests in flight do not make Python collect, and old garbage still goes."""
    before = gc.get_threshold()
    spread_collections()
    young, middle, old = gc.get_threshold()
    assert young == YOUNG_LIMIT > before[0]
    assert gc.isenabled()
    assert (middle, old) == before[1:]
