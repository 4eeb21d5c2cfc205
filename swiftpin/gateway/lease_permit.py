"""Permission to send that stands on a group's lease."""

from __future__ import annotations

from swiftpin.core import callback
from swiftpin.exceptions import DeadlineTooShortError, NotHolderError
from swiftpin.gateway.incoming_request import IncomingRequest
from swiftpin.gateway.ports import Ownership
from swiftpin.ownership.route import Route


class LeasePermit:
    """Lets a request go while this instance holds the group and the route holds."""

    __slots__ = ("_incoming", "_ownership", "_route")

    def __init__(
        self, ownership: Ownership, incoming: IncomingRequest, route: Route
    ) -> None:
        self._ownership = ownership
        self._incoming = incoming
        self._route = route

    @callback
    def deadline(self, now: float) -> float:
        """Return when the target must have ended the request.

        A target that does not check grants can't be told that another holder took
        over. So its work must end while this instance is certainly the holder;
        otherwise two targets could work on one key at once.
        """
        if self._incoming.service.checks_grants:
            return self._incoming.deadline
        return min(self._incoming.deadline, self._lease_end(now))

    @callback
    def check(self, now: float) -> None:
        """Raise unless the route holds at this very moment.

        Since it was resolved, the request may have waited for a slot or a connection,
        or the whole process was paused. The lease may have ended, or the slice may
        have moved to another target.
        """
        if now >= self._incoming.deadline:
            raise DeadlineTooShortError(
                "the deadline passed before the request was sent"
            )
        self._lease_end(now)
        if self._incoming.service.checks_grants:
            # The target itself refuses a slice or a term that it was not granted.
            return
        route = self._route
        present = self._ownership.resolve(
            self._incoming.service, self._incoming.key, now
        )
        if present.target.id != route.target.id or present.term != route.term:
            raise NotHolderError("the key has just moved to another target")

    def _lease_end(self, now: float) -> float:
        """Return until when this instance may send for the group."""
        until = self._ownership.send_until(self._route.group, now)
        if until is None or until <= now:
            raise NotHolderError("this instance may not send for the group any more")
        return until
