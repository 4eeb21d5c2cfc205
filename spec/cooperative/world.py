"""A state of a cooperative group with its store."""

from __future__ import annotations

from typing import NamedTuple

from spec.cooperative.instance import Instance
from spec.cooperative.lease import Lease


class CooperativeWorld(NamedTuple):
    """`leases` are in the order of their terms; the last is the stored record's.

    `pending` is a takeover whose answer was lost: the number of leases it builds on
    and the lease that it writes.
    """

    instances: tuple[Instance, ...]
    leases: tuple[Lease, ...]
    pending: tuple[int, Lease] | None
