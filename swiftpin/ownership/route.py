"""Where one request goes."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.config.target_spec import TargetSpec
from swiftpin.ownership.group_id import GroupId


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """The owner of a request's key and the holder that sends to it.

    `holder` is an instance id; `forward_address` is the holder's address for
    forwarded requests, None when this instance is the holder. `reason` names the
    rule that chose the route, for the decision log.
    """

    group: GroupId
    slice_id: int
    target: TargetSpec
    term: int
    holder: str
    forward_address: str | None
    reason: str
