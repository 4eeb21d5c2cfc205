"""Tests of parsing addresses."""

from __future__ import annotations

import pytest

from swiftpin.helpers.address import Address, parse_address


def test_address_comes_back_as_written() -> None:
    """Host and port are separated at the last colon."""
    address = parse_address("127.0.0.1:8080")
    assert address == Address(host="127.0.0.1", port=8080)
    assert str(address) == "127.0.0.1:8080"


@pytest.mark.parametrize("text", ["", "host", ":80", "host:", "host:x", "h:-1", "h:٣"])
def test_malformed_address_is_rejected(text: str) -> None:
    """Malformed addresses raise an error."""
    with pytest.raises(ValueError, match=r"host:port|port number"):
        parse_address(text)
