"""What tells two requests apart."""

from __future__ import annotations

from xxhash import xxh3_128_hexdigest

from swiftpin.core import callback
from swiftpin.gateway.incoming_request import IncomingRequest
from swiftpin.gateway.request_body import RequestBody


@callback
def request_fingerprint(incoming: IncomingRequest, body: RequestBody) -> str:
    """Return a digest of method, path, key and body (its beginning, if it is long).

    Lengths stand before the parts, so that no part can reach into the next.
    """
    path, key = incoming.full_path, incoming.key
    head = f"{incoming.method} {len(path)} {path} {len(key)} {key} {body.known_length} "
    return xxh3_128_hexdigest(head.encode() + body.head)
