"""Types of fields that several models use."""

from __future__ import annotations

from ipaddress import ip_address
from typing import Annotated, Final

from pydantic import AfterValidator, StringConstraints

NAME_PATTERN: Final = r"^[a-z0-9]([a-z0-9-]*[a-z0-9])?$"
MAX_NAME_LENGTH: Final = 63
MAX_PORT: Final = 65535


def _check_address(address: str) -> str:
    """Return the address if it is an IP number and a port."""
    host, colon, port = address.rpartition(":")
    if not colon or not port.isascii() or not port.isdigit():
        raise ValueError("expected IP:port, as in 10.0.3.17:8080")
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"port {port} is not between 1 and {MAX_PORT}")
    try:
        ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError as err:
        raise ValueError(f"{host!r} is no IP number") from err
    return address


Name = Annotated[
    str, StringConstraints(pattern=NAME_PATTERN, max_length=MAX_NAME_LENGTH)
]
Address = Annotated[str, AfterValidator(_check_address)]
