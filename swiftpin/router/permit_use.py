"""Use of one permit by one send of a request."""

from __future__ import annotations

from swiftpin.core import callback
from swiftpin.permits.permit import Permit
from swiftpin.permits.permit_broker import PermitBroker


class PermitUse:
    """Releases a permit once, by whatever ends its use first."""

    def __init__(self, permits: PermitBroker, permit: Permit) -> None:
        self.permit = permit
        self.is_link_silent = False
        """Whether the permit was released since the link to the target is lost."""

        self._permits = permits
        self._is_released = False

    @callback
    def release(self, seconds: float, *, failed: bool, abandoned: bool = False) -> None:
        """Release the permit; see `PermitBroker.release`."""
        if self._is_released:
            return
        self._is_released = True
        self._permits.release(self.permit, seconds, failed=failed, abandoned=abandoned)

    @callback
    def release_silent(self) -> None:
        """Release the permit of a request whose link is lost.

        How long the target took, and whether it failed, is unknown.
        """
        self.is_link_silent = True
        self.release(0.0, failed=False)
