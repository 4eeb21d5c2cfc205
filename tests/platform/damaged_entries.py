"""Contents of entries that break the JSON of the answer they are part of."""

from __future__ import annotations

from typing import Final

DAMAGED_CONTENTS: Final[dict[str, bytes]] = {
    "cut short": b'{"address":"127.0.0.9:1","information":{"service":"de',
    "cut after a backslash": b'{"address":"127.0.0.9:1\\',
    "string without an end": b'{"address":"127.0.0.9:1,"status":{}}',
    "comma before a brace": b'{"address":"127.0.0.9:1",}',
    "nothing": b"",
    "only a comma": b",",
    "byte order mark": b'\xef\xbb\xbf{"address":"127.0.0.9:1"}',
    "UTF-16": '{"address":"127.0.0.9:1"}'.encode("utf-16"),
    "brackets that close": b"]}]}",
    "brackets that open": b'[{"a":1',
    "more objects": b'1},{"b":{"c":2',
    "escaped quotes without an end": b'"' + b'\\"' * 200_000,
    "quotes": b'"' * 200_001,
    "open arrays": b"[" * 200_000,
    "control bytes": bytes(range(32)),
    "bytes": bytes(range(255, 127, -1)),
}
"""Contents by a description; no JSON parser accepts one of them."""
