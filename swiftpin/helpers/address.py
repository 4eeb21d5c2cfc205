"""Network addresses as written in settings and declarations."""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import IPv4Address
import re
from typing import Final

MAX_PORT: Final = 65535
MAX_NAME_LENGTH: Final = 253
"""Maximum length of a host name in characters."""

NAME: Final = re.compile(r"[A-Za-z0-9_-]{1,63}(?:\.[A-Za-z0-9_-]{1,63})*")
DOTTED_NUMBERS: Final = re.compile(r"[0-9.]+")


@dataclass(frozen=True, kw_only=True, slots=True)
class Address:
    """A TCP address; port 0 requests a free port from the system."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse an address of the form `host:port`.

    Raises `ValueError` if the text is malformed.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host:
        raise ValueError(f"{text!r} is not of the form host:port")
    if not port.isascii() or not port.isdigit():
        raise ValueError(f"{port!r} is not a port number")
    if int(port) > MAX_PORT:
        raise ValueError(f"port {port} is above {MAX_PORT}")
    return Address(host=host, port=int(port))


def is_valid_host(host: str) -> bool:
    """Return whether a host is an IPv4 address or could be a host name."""
    if DOTTED_NUMBERS.fullmatch(host):
        try:
            IPv4Address(host)
        except ValueError:
            return False
        return True
    return len(host) <= MAX_NAME_LENGTH and NAME.fullmatch(host) is not None
