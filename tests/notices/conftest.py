"""Fixtures for the statements of targets."""

from __future__ import annotations

from dataclasses import replace

import pytest

from swiftpin.discovery.announced_drains import AnnouncedDrains
from swiftpin.model.target import Target
from swiftpin.model.target_life import TargetLife
from swiftpin.notices.answer_listener import AnswerListener
from swiftpin.notices.target_backoffs import TargetBackoffs
from swiftpin.permits.rate_reports import RateReports
from swiftpin.platform.request_head import AnswerHead, decode_answer_head

NOW = 100.0
DRAIN_LIMIT = 2.0
TARGET = Target(
    life=TargetLife(name="a", started_ms=7),
    service="desk",
    address="127.0.0.1:1",
    zone="z1",
    slots=2,
    is_draining=False,
    cold_for=0.0,
    revision=1,
)
ANSWER = decode_answer_head(200, {"Swiftpin-Upstream-Signature": "s"})
REJECTION = decode_answer_head(503, {"Swiftpin-Not-Executed": "1", "Retry-After": "3"})


class Recorder:
    """A listener and what it has recorded."""

    def __init__(self) -> None:
        self.rate_reports = RateReports()
        self.drains = AnnouncedDrains(DRAIN_LIMIT)
        self.backoffs = TargetBackoffs()
        self.listener = AnswerListener(
            rate_reports=self.rate_reports, drains=self.drains, backoffs=self.backoffs
        )

    def handle(self, head: AnswerHead, *, now: float = NOW) -> None:
        """Receive an answer of the target."""
        self.listener.handle_answer(TARGET, head, asked_at=now - 0.1, now=now)


def announcing(head: AnswerHead = ANSWER) -> AnswerHead:
    """Return an answer that announces that its target is leaving."""
    return replace(head, is_draining=True)


@pytest.fixture(name="recorder")
def recorder_fixture() -> Recorder:
    """Return a listener that has recorded nothing yet."""
    return Recorder()
