"""Address that a stand-in listens on."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.exceptions import ConfigurationError


@dataclass(frozen=True, kw_only=True, slots=True)
class Address:
    """Host and port; port 0 lets the system choose a free one."""

    host: str = "127.0.0.1"
    port: int = 0

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Return the address written as `host:port`."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 0xFFFF:
        raise ConfigurationError(f"{text!r} is not host:port")
    return Address(host=host, port=int(port))
