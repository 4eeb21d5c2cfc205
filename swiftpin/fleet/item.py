"""Messages on a link between two instances."""

from __future__ import annotations

from typing import Any

Item = Any
"""Alias for a generated protobuf message, which has no type information."""
