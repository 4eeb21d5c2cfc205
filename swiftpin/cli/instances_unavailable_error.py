"""Error of a call to the platform's instance list."""

from __future__ import annotations

from swiftpin.exceptions import SwiftpinError


class InstancesUnavailableError(SwiftpinError):
    """The instance list cannot be read."""
