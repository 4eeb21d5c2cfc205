"""A request together with the target that is to run it."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.config.target_spec import TargetSpec
from swiftpin.dispatch.http_send_state import HttpSendState
from swiftpin.gateway.incoming_request import IncomingRequest
from swiftpin.gateway.request_body import RequestBody
from swiftpin.gateway.send_permit import SendPermit
from swiftpin.ownership.route import Route


@dataclass(kw_only=True, slots=True)
class TargetJob:
    """What the runner needs; `route` is None for services without owners.

    `fingerprint` tells the request from others, for the quarantine. Not frozen, since
    one is made for each request.
    """

    incoming: IncomingRequest
    body: RequestBody
    state: HttpSendState
    target: TargetSpec
    route: Route | None
    permit: SendPermit
    fingerprint: str
