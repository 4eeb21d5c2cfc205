"""State of a request that is being served."""

from __future__ import annotations

from dataclasses import dataclass, field

from aiohttp.web import BaseRequest

from swiftpin.core import callback
from swiftpin.gateway.request_body import RequestBody
from swiftpin.model.route import Route
from swiftpin.platform.request_head import RequestHead
from swiftpin.router.decision_basis import DecisionBasis
from swiftpin.router.step_failure import StepFailure


@dataclass(kw_only=True, slots=True)
class Call:
    """State shared by the steps of serving a request.

    Times are on the event loop's clock.
    """

    request: BaseRequest
    head: RequestHead
    route: Route
    service: str
    body: RequestBody
    started_at: float
    ends_at: float
    """Deadline for the final answer to the caller."""

    caller: int = 0
    """Hash of the caller's address, 0 if it is not known."""

    fingerprint: int = 0
    """The same for all resends of the request, 0 until it is known."""

    sends: int = 0
    is_at_target: bool = False
    """Whether the request is currently at a target."""

    is_retry_reserved: bool = False
    """Whether a retry is reserved for the request in the service's budget."""

    is_interrupted_by_stop: bool = False
    """Whether the stop of this instance ended the work on the request."""

    may_have_run: bool = False
    """Whether a target received the request without stating that it did not run it."""

    target: str = ""
    relay: str = ""
    """Address of the instance that passed on the last send, empty if sent directly."""

    relay_evidence_age: float = 0.0
    """Age in seconds, at the last relayed send, of the evidence that this instance's
    own link was lost."""

    failed_target: str = ""
    """Target of the last send that failed."""

    unreachable_targets: set[str] = field(default_factory=set)
    """Targets to which no connection could be opened for the request."""

    notes: list[str] = field(default_factory=list)
    """Descriptions of the failed steps, for the log line."""

    step_failures: list[StepFailure] = field(default_factory=list)
    """Reasons of the failed steps, for the counters."""

    basis: DecisionBasis | None = None
    """Versions that the last routing decision was based on, None before the first."""

    status: int = 0
    configuration: int = 0
    """Version of the configuration that the route was found in."""

    waited: float = 0.0
    """Total time spent waiting for permits, in seconds."""

    @callback
    def record_failure(self, failure: StepFailure, text: str) -> None:
        """Record a failed step and its description."""
        self.step_failures.append(failure)
        self.notes.append(text)

    @property
    def objective_at(self) -> float:
        """Return the time by which the answer should reach the caller."""
        return self.started_at + self.route.objective
