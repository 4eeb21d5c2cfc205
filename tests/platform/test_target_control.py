"""Tests of what a target's answers to control calls are taken for."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import cast

import pytest

from swiftpin.dispatch.http_client import HttpClient
from swiftpin.platform.names import HEADER_INSTANCE
from swiftpin.platform.target_control import (
    KeyGrant,
    TargetControl,
    TargetReplacedError,
    UnexpectedAnswerError,
)

GRANT = KeyGrant(first=0, last=9, fence=1)


@dataclass(frozen=True, kw_only=True)
class FixedClient:
    """Gives one answer to every call; it is its own answer."""

    status: int
    headers: Mapping[str, str]

    async def async_exchange(self, *args: object) -> FixedClient:
        """Return the answer."""
        return self

    async def async_read_whole(self) -> bytes:
        """Return an empty body."""
        return b""

    def finish(self, now: float) -> None:
        """Give nothing back."""


def make_control(status: int, instance: str) -> TargetControl:
    """Return a control that gets one answer."""
    client = FixedClient(status=status, headers={HEADER_INSTANCE: instance})
    return TargetControl(cast(HttpClient, client), lambda now: None)


@pytest.mark.parametrize("status", [200, 421, 400])
async def test_another_id_shows_that_the_target_is_gone(status: int) -> None:
    """Whoever else answers at the address has it."""
    with pytest.raises(TargetReplacedError):
        await make_control(status, "b").async_release("a:1", "a", GRANT, limit=1.0)


async def test_refusal_by_the_target_itself_shows_no_end() -> None:
    """Symptom: keys could be granted on while their holder was there.

    Sequence: the target itself answered a release with 421. Cause: the status alone
    counted as another target's answer, so its grants were not waited for.
    """
    with pytest.raises(UnexpectedAnswerError):
        await make_control(421, "a").async_release("a:1", "a", GRANT, limit=1.0)
