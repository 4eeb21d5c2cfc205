"""Right of a limited number of issuers to grant permits for limited targets."""

from __future__ import annotations

from collections import deque
import math
from typing import Final

from swiftpin.core import callback
from swiftpin.permits.permit_issuers import PermitIssuers

CONFIRMATION_TIME: Final = 2.0
"""Seconds for which a list of issuers stays confirmed, counted from a time before the
lease holder confirmed it. Long enough for several heartbeats."""

CLOCK_DRIFT_FACTOR: Final = 1.05
"""Ratio of the clock rates of two instances, with a margin."""

TAKEOVER_WAIT: Final = CONFIRMATION_TIME * CLOCK_DRIFT_FACTOR
"""Seconds for which a new issuer waits after it was named for a subject."""


class IssuerAuthority:
    """Decides whether this instance may grant permits for a subject with a limit.

    A subject is a target of a keyed service, or a service without keys. At any time at
    most `max_issuers` instances are authorized for it, even while some instances use an
    older list of issuers or can't reach each other:

    - Only the highest-ranked issuers of the newest list known to them are authorized,
      and only while the lease holder has confirmed this list within
      `CONFIRMATION_TIME`.
    - The lease holder confirms no list after it has published the next one or after its
      lease has ended, so all confirmations of earlier lists expire within
      `CONFIRMATION_TIME` of the publication of a list.
    - An issuer waits longer than that after it became one of the highest-ranked. Before
      it is authorized, it has been one of them in every list that could still be
      confirmed, so all that are authorized at a time are among those of one list.

    Times are on a clock that includes suspensions.
    """

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._adopted_lists: deque[tuple[float, PermitIssuers]] = deque()
        """Time of adoption and list, each published right after the one before it."""

        self._confirmed_until = -math.inf
        self._authorized_from_by_query: dict[tuple[str, int], float | None] = {}

    @callback
    def record_list(self, issuers: PermitIssuers, now: float) -> None:
        """Record the newest list of issuers."""
        if self._adopted_lists:
            current = self._adopted_lists[-1][1]
            if (issuers.term, issuers.number) <= (current.term, current.number):
                return
            if not _is_next(current, issuers):
                # In a list between the two, another issuer may have been first.
                self._adopted_lists.clear()
                self._confirmed_until = -math.inf
        self._authorized_from_by_query.clear()
        self._adopted_lists.append((now, issuers))
        while (
            len(self._adopted_lists) > 1
            and self._adopted_lists[1][0] <= now - TAKEOVER_WAIT
        ):
            self._adopted_lists.popleft()

    @callback
    def record_confirmation(self, term: int, number: int, asked_at: float) -> None:
        """Record that the lease holder had a list in effect at or after `asked_at`."""
        if not self._adopted_lists:
            return
        current = self._adopted_lists[-1][1]
        if (term, number) == (current.term, current.number):
            self._confirmed_until = max(
                self._confirmed_until, asked_at + CONFIRMATION_TIME
            )

    @callback
    def is_confirmed(self, now: float) -> bool:
        """Return whether the lease holder has confirmed the newest list recently."""
        return now <= self._confirmed_until

    @callback
    def authorized_from(self, subject: str, *, max_issuers: int = 1) -> float | None:
        """Return the time from which this issuer may be authorized for a subject.

        Return None if it is not one of the highest-ranked issuers.
        """
        query = (subject, max_issuers)
        if query not in self._authorized_from_by_query:
            ranked_since = self._ranked_since(subject, max_issuers)
            self._authorized_from_by_query[query] = (
                None if ranked_since is None else ranked_since + TAKEOVER_WAIT
            )
        return self._authorized_from_by_query[query]

    @callback
    def time_until_authorized(
        self, subject: str, now: float, *, max_issuers: int = 1
    ) -> float:
        """Return the seconds until permits may be granted, infinite if unknown."""
        authorized_from = self.authorized_from(subject, max_issuers=max_issuers)
        if authorized_from is None or not self.is_confirmed(now):
            return math.inf
        return max(authorized_from - now, 0.0)

    @callback
    def _ranked_since(self, subject: str, max_issuers: int) -> float | None:
        """Return since when this issuer has been ranked high without interruption."""
        ranked_since = None
        for adopted_at, issuers in reversed(self._adopted_lists):
            if self._incarnation not in issuers.ranked(subject)[:max_issuers]:
                break
            ranked_since = adopted_at
        return ranked_since


@callback
def _is_next(current: PermitIssuers, issuers: PermitIssuers) -> bool:
    """Return whether a list was published right after the current one."""
    return issuers.term == current.term and issuers.number == current.number + 1
