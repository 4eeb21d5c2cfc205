"""Documents as stored and shown."""

from __future__ import annotations

from typing import Any

from swiftpin.config.models.declaration_models import Declaration


def document_of(model: Declaration) -> dict[str, Any]:
    """Return the document with all fields, those left to their defaults too.

    Defaults are written out because they may change with a release: a service whose
    number of slices came from the program would lose its keys' owners at an upgrade.
    """
    fields = model.model_dump(mode="json", exclude_none=True)
    order = ("apiVersion", "kind", "metadata", "spec")
    return {field: fields[field] for field in order}
