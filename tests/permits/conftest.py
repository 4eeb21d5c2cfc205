"""Shared fixtures of the tests of permits."""

from __future__ import annotations

import pytest

from swiftpin.permits.permit_queue import PermitQueue
from tests.permits.requester import Requester, make_target


@pytest.fixture(name="requester")
def requester_fixture() -> Requester:
    """Return a requester at a queue with two targets in two zones."""
    queue = PermitQueue("desk")
    queue.set_targets([make_target("a"), make_target("b", zone="z2")], 0.0)
    return Requester(queue)
