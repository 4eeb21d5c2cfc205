"""Differences between documents as text."""

from __future__ import annotations

from difflib import unified_diff
from typing import Any

import yaml

from swiftpin.config.change_kind import ChangeKind
from swiftpin.config.plan import shown_document
from swiftpin.config.planned_change import PlannedChange
from swiftpin.config.stored_config import StoredConfig


def yaml_text(document: dict[str, Any]) -> str:
    """Return the document as YAML, fields in their order."""
    return yaml.safe_dump(document, sort_keys=False, allow_unicode=True)


def diff_text(change: PlannedChange) -> str:
    """Return a unified diff of a change, empty when nothing changes."""
    if change.kind is ChangeKind.UNCHANGED:
        return ""
    replaced = _replaced(change)
    before = "" if replaced is None else yaml_text(shown_document(replaced))
    after = "" if change.kind is ChangeKind.RETIRE else yaml_text(change.document)
    lines = unified_diff(
        before.splitlines(),
        after.splitlines(),
        fromfile=_title(replaced),
        tofile=f"{change.id.label} generation {change.generation} ({change.kind})",
        lineterm="",
    )
    return "".join(f"{line}\n" for line in lines)


def _replaced(change: PlannedChange) -> StoredConfig | None:
    """Return the declaration that is in force before the change."""
    if change.before is None or change.before.change.retired:
        return None
    return change.before


def _title(replaced: StoredConfig | None) -> str:
    """Return the heading of what is replaced."""
    if replaced is None:
        return "nothing in force"
    before = replaced.change
    return f"{before.id.label} generation {before.generation} by {before.author}"
