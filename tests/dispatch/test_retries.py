"""Tests of retry budgets, back-off and times to send again."""

from __future__ import annotations

from random import Random

from swiftpin.dispatch.answer_recorder import AnswerRecorder
from swiftpin.dispatch.backoff import Backoff
from swiftpin.dispatch.retry_after import retry_after
from swiftpin.dispatch.retry_budget import RetryBudget


def test_budget_is_a_share_of_first_tries() -> None:
    """Retries stop at the share of the first tries."""
    budget = RetryBudget(0.1, 0.0, 0.0)
    for _ in range(200):
        budget.record_first_try()
    assert sum(budget.spend(0.0) for _ in range(100)) in (19, 20)


def test_budget_of_a_quiet_service() -> None:
    """A service without traffic may retry at the steady rate."""
    budget = RetryBudget(0.1, 1.0, 0.0)
    assert sum(budget.spend(0.0) for _ in range(100)) == 10
    assert sum(budget.spend(3.0) for _ in range(100)) == 3


def test_backoff() -> None:
    """Delays grow up to the cap and are spread over the whole interval."""
    backoff = Backoff(0.1, 1.0, Random(1))
    first = [backoff.delay(1) for _ in range(100)]
    late = [backoff.delay(50) for _ in range(100)]
    assert max(first) <= 0.1
    assert 0.5 < max(late) <= 1.0
    assert min(late) < 0.1


def test_retry_after_spreads_with_the_backlog() -> None:
    """A longer queue spreads its refused callers wider."""
    rng = Random(1)
    short = [retry_after(0.0, rng) for _ in range(100)]
    long = [retry_after(5.0, rng) for _ in range(100)]
    assert max(short) - min(short) < 0.3
    assert max(long) - min(long) > 5.0
    assert max(retry_after(1e6, rng) for _ in range(100)) <= 30.0


def test_answer_recorder() -> None:
    """A body is kept up to the limit, its digest whatever its length."""
    whole, long = AnswerRecorder(5), AnswerRecorder(4)
    for recorder in (whole, long):
        recorder.feed(b"abc")
        recorder.feed(b"de")
    assert whole.answered(200, ()).body == b"abcde"
    assert long.answered(200, ()).body is None
    assert long.answered(200, ()) != whole.answered(200, ())
    assert long.answered(200, ()).body_digest == whole.answered(200, ()).body_digest
