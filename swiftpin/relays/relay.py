"""An instance that can pass requests on to targets."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Relay:
    """Address and availability zone of an instance that passes requests on."""

    address: str
    zone: str
