"""Which instance hands out the slots of which target."""

from __future__ import annotations

from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from swiftpin.core import callback


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitIssuers:
    """Instances that hand out permits; newer lists have a higher (`term`, `number`)."""

    term: int
    number: int
    peers_by_incarnation: dict[str, str]
    members: int
    """Upper bound of the instances linked to the one that made the list, itself
    included."""

    @callback
    def ranked(self, subject: str) -> list[str]:
        """Return the instances by how well they suit a target or service.

        The same at every instance, and a change of the list moves few subjects.
        """
        return sorted(
            self.peers_by_incarnation,
            key=lambda incarnation: xxh3_64_intdigest(f"{incarnation}\0{subject}"),
            reverse=True,
        )


NO_ISSUERS = PermitIssuers(term=0, number=0, peers_by_incarnation={}, members=1)
