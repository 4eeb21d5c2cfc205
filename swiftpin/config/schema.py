"""JSON Schema of the declarations."""

from __future__ import annotations

from typing import Any

from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.models.declaration_models import MODELS_BY_KIND


def json_schema(kind: ConfigKind) -> dict[str, Any]:
    """Return the JSON Schema of one kind."""
    return MODELS_BY_KIND[kind].model_json_schema()
