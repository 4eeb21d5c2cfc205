"""Tests of what answers say about execution."""

from __future__ import annotations

import pytest

from swiftpin.bench.load.stated_execution import stated_execution
from swiftpin.result import Executed


@pytest.mark.parametrize(
    ("result", "body", "executed"),
    [
        (100, b"anything", Executed.YES),
        (301, b'{"executed": "no"}', Executed.NO),
        (402, b'{"executed": "unknown"}', Executed.UNKNOWN),
        (301, b'{"executed": "perhaps"}', None),
        (301, b"[]", None),
        (None, b"\xff", None),
    ],
)
def test_execution_is_stated_by_result_or_body(
    result: int | None, body: bytes, executed: Executed | None
) -> None:
    """A target's answer says yes; swiftpin's own answers have a field."""
    assert stated_execution(result, body) is executed
