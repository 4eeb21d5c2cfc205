"""Error of an operator's wrong use of a command."""

from __future__ import annotations

from swiftpin.exceptions import ConfigurationError


class UsageError(ConfigurationError):
    """The command cannot be carried out as it was given; nothing was changed."""
