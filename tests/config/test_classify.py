"""Tests of the choice of a request's class."""

from __future__ import annotations

import pytest

from swiftpin.config.classify import (
    DEFAULT_OTHER_CLASS,
    DEFAULT_SAFE_CLASS,
    request_class_of,
)
from swiftpin.config.profile import Profile
from swiftpin.config.request_class import RequestClass

BOOKINGS = RequestClass(
    name="bookings",
    methods=frozenset({"POST"}),
    path="/bookings*",
    priority=0,
    repeatable=False,
)
ANY_BOOKING = RequestClass(
    name="any-booking",
    methods=frozenset(),
    path="/bookings/*",
    priority=1,
    repeatable=True,
)
PROFILE = Profile(name="desk", classes=(BOOKINGS, ANY_BOOKING))


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("POST", "/bookings/7/lines", BOOKINGS),
        ("PUT", "/bookings/7", ANY_BOOKING),
        ("GET", "/bookings", DEFAULT_SAFE_CLASS),
        ("POST", "/old/bookings", DEFAULT_OTHER_CLASS),
        ("HEAD", "/", DEFAULT_SAFE_CLASS),
        ("DELETE", "", DEFAULT_OTHER_CLASS),
    ],
)
def test_first_match_counts(method: str, path: str, expected: RequestClass) -> None:
    """Method and path both must match, and the default depends on the method."""
    assert request_class_of(PROFILE, method, path) is expected
