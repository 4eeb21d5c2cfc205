"""One request while it is served."""

from __future__ import annotations

from dataclasses import dataclass, field

from aiohttp.web import BaseRequest

from swiftpin.gateway.request_body import RequestBody
from swiftpin.model.route import Route
from swiftpin.platform.request_head import RequestHead


@dataclass(kw_only=True, slots=True)
class Call:
    """What the steps of serving a request share; times on the event loop's clock."""

    request: BaseRequest
    head: RequestHead
    route: Route
    service: str
    body: RequestBody
    started_at: float
    ends_at: float
    """When the caller gets a final answer, whatever happens."""

    sends: int = 0
    is_sent: bool = False
    """Whether a target has the request now."""

    may_have_run: bool = False
    """Whether a target got the request and did not say that it did not run it."""

    target: str = ""
    failed_target: str = ""
    """Target at which the last send failed."""

    notes: list[str] = field(default_factory=list)
    """What happened on the way, for the log line."""

    status: int = 0
    configuration: int = 0
    waited: float = 0.0

    @property
    def objective_at(self) -> float:
        """Return when the answer loses worth."""
        return self.started_at + self.route.objective
