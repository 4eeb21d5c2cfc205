"""An instance in the stand-in list."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.exceptions import ConfigurationError
from swiftpin.standins.instance_state import InstanceState


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedInstance:
    """One instance; addresses are `host:port`."""

    name: str
    zone: str
    state: InstanceState = InstanceState.LIVE
    peer: str
    forward: str
    admin: str


def parse_instance(text: str) -> ListedInstance:
    """Return the instance written as `NAME,ZONE,PEER,FORWARD,ADMIN`."""
    fields = text.split(",")
    if len(fields) != 5 or not all(fields):
        raise ConfigurationError(f"{text!r} is not NAME,ZONE,PEER,FORWARD,ADMIN")
    name, zone, peer, forward, admin = fields
    return ListedInstance(name=name, zone=zone, peer=peer, forward=forward, admin=admin)
