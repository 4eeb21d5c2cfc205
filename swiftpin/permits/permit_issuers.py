"""Mapping of targets to the instances that issue their permits."""

from __future__ import annotations

from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from swiftpin.core import callback


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitIssuers:
    """Permit issuers; a newer list has a higher (`term`, `number`)."""

    term: int
    number: int
    peers_by_incarnation: dict[str, str]
    members: int
    """Upper bound on the instances linked to the one that published the list, itself
    included."""

    @callback
    def ranked(self, subject: str) -> list[str]:
        """Return the issuers in rendezvous-hash order for a target or service.

        All instances compute the same order, and a change of the list reassigns few
        targets and services.
        """
        return sorted(
            self.peers_by_incarnation,
            key=lambda incarnation: xxh3_64_intdigest(f"{incarnation}\0{subject}"),
            reverse=True,
        )


NO_ISSUERS = PermitIssuers(term=0, number=0, peers_by_incarnation={}, members=1)
