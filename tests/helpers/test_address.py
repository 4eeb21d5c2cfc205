"""Tests of parsing addresses."""

from __future__ import annotations

import pytest

from swiftpin.helpers.address import Address, is_valid_host, parse_address


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


@pytest.mark.parametrize("host", ["10.128.0.9", "a", "host-1.zone_2.example", "x" * 63])
def test_host_is_an_address_or_a_name(host: str) -> None:
    """IPv4 addresses and names whose labels are short enough are valid."""
    assert is_valid_host(host)


@pytest.mark.parametrize(
    "host",
    [
        "",
        " ",
        "a..b",
        ".a",
        "a.",
        "x" * 64,
        ".".join(["abcdefgh"] * 32),
        "127.0.0.1 ",
        "127.0.0.256",
        "127.0.0",
        "a\0b",
        "a\r\nb",
        "a\n",
        "[::1]",
        "::1",
        "\u0661.0.0.1",
        "\ufffd",
    ],
)
def test_host_that_no_lookup_takes_is_invalid(host: str) -> None:
    """Guards against connections to what is neither an address nor a name."""
    assert not is_valid_host(host)
