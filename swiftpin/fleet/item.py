"""Messages on a link between two instances."""

from __future__ import annotations

from typing import Any

Item = Any
"""A message of the generated code, which has no types."""
