"""Error of a store object that cannot be read."""

from __future__ import annotations

from swiftpin.exceptions import SwiftpinError


class MalformedObjectError(SwiftpinError):
    """The body of a store object lacks what orders its versions."""
