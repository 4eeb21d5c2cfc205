"""Error of a message to an incarnation that is gone."""

from __future__ import annotations

from swiftpin.exceptions import PeerError


class PeerRestartedError(PeerError):
    """The instance runs as another incarnation than the one addressed.

    The addressed one carried nothing out and never will; `receiver` is the instance
    id of the one that answered.
    """

    def __init__(self, addressed: str, receiver: str) -> None:
        super().__init__(f"{addressed} now runs as {receiver}")
        self.addressed = addressed
        self.receiver = receiver
