"""Parts of a request's path."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final
from urllib.parse import unquote

from swiftpin.exceptions import MalformedRequestError

DOT_SEGMENTS: Final = frozenset({".", ".."})


@dataclass(kw_only=True, slots=True)
class RequestPath:
    """The service, and the path that the service's targets see.

    `path` includes the query as received; `decoded` is the path alone, with
    percent-encoding resolved, for rules that look at it. Not frozen, since one is made
    for each request.
    """

    service: str
    path: str
    decoded: str
    query: str


def split_path(raw: str) -> RequestPath:
    """Return the parts of `/{service}/{path}?{query}`.

    Raises `MalformedRequestError` for what is not such a path. A path with dot
    segments is refused: its target may resolve them to another path than the one that
    was classified, and so run as repeatable what is not.
    """
    if not raw.startswith("/"):
        raise MalformedRequestError("the request must name a path")
    head, mark, query = raw.partition("?")
    service, _, rest = head[1:].partition("/")
    decoded = f"/{unquote(rest)}" if "%" in rest else f"/{rest}"
    if "/." in decoded and not DOT_SEGMENTS.isdisjoint(decoded.split("/")):
        raise MalformedRequestError("the path holds dot segments")
    return RequestPath(
        service=service, path=f"/{rest}{mark}{query}", decoded=decoded, query=query
    )
