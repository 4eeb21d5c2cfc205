"""Form of declarations in the store."""

from __future__ import annotations

from typing import Any, Final

import orjson

from swiftpin.config.config_name import ConfigName
from swiftpin.config.config_object import ConfigObject
from swiftpin.exceptions import ConfigurationError

MILLISECONDS: Final = 1000

_TYPES_BY_FIELD: Final[dict[str, type]] = {
    "generation": int,
    "writer": str,
    "author": str,
    "written_at": int,
    "retired": bool,
    "document": dict,
}


def encode_config_object(config_object: ConfigObject) -> bytes:
    """Return the body to store; equal objects give equal bytes."""
    envelope = {
        "generation": config_object.generation,
        "writer": config_object.writer,
        "author": config_object.author,
        "written_at": round(config_object.written_at * MILLISECONDS),
        "retired": config_object.retired,
        "document": config_object.document,
    }
    return orjson.dumps(envelope, option=orjson.OPT_SORT_KEYS)


def decode_config_object(config_name: ConfigName, body: bytes) -> ConfigObject:
    """Return the stored change; the document itself is not checked yet.

    Raises `ConfigurationError` when the body is no envelope.
    """
    envelope = _load(config_name, body)
    return ConfigObject(
        id=config_name,
        generation=envelope["generation"],
        writer=envelope["writer"],
        author=envelope["author"],
        written_at=envelope["written_at"] / MILLISECONDS,
        retired=envelope["retired"],
        document=envelope["document"],
    )


def _load(config_name: ConfigName, body: bytes) -> dict[str, Any]:
    """Return the decoded envelope with all fields of the right types."""
    try:
        envelope = orjson.loads(body)
    except orjson.JSONDecodeError as err:
        raise ConfigurationError(f"{config_name.store_name}: no JSON: {err}") from err
    if not isinstance(envelope, dict):
        raise ConfigurationError(f"{config_name.store_name}: no JSON object")
    for field, expected in _TYPES_BY_FIELD.items():
        if type(envelope.get(field)) is not expected:
            raise ConfigurationError(
                f"{config_name.store_name}: {field} is no {expected.__name__}"
            )
    return envelope
