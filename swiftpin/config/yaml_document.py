"""One YAML document with the lines of its fields."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from yaml import MappingNode, Node, ScalarNode, SequenceNode

from swiftpin.config.field_problem import FieldPath
from swiftpin.config.place import Place


@dataclass(frozen=True, kw_only=True, slots=True)
class YamlDocument:
    """The plain data of a document and the nodes that know where it stands."""

    file: str
    node: Node
    data: Any

    def place(self, path: FieldPath = ()) -> Place:
        """Return where the field stands; for an absent one, its nearest parent."""
        node = self.node
        line = node.start_mark.line
        for part in path:
            step = _step(node, part)
            if step is None:
                continue
            line, node = step
        return Place(file=self.file, line=line + 1)


def _step(node: Node, part: str | int) -> tuple[int, Node] | None:
    """Return the line and the node of one part of a path, None when it is absent."""
    match node, part:
        case MappingNode(), str():
            for key, value in reversed(node.value):
                if isinstance(key, ScalarNode) and key.value == part:
                    return key.start_mark.line, value
        case SequenceNode(), int() if part < len(node.value):
            item = node.value[part]
            return item.start_mark.line, item
    return None
