"""Path by which a request's route is selected."""

from __future__ import annotations

from swiftpin.core import callback


@callback
def route_path(request_target: str) -> str:
    """Return the path of a request, byte for byte as the caller sent it.

    Decoded, it could select the route of another path than the one that is forwarded.
    A request target may be a whole URL.
    """
    path = request_target.partition("?")[0]
    scheme, mark, rest = path.partition("://")
    if not mark or "/" in scheme:
        return path
    return f"/{rest.partition('/')[2]}"
