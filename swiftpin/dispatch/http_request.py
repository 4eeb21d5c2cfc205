"""A request to a target or another instance."""

from __future__ import annotations

from dataclasses import dataclass

from multidict import CIMultiDict

from swiftpin.dispatch.http_body import HttpBody


@dataclass(kw_only=True, slots=True)
class HttpRequest:
    """One request as it is written.

    `path` holds the path and query as received, `headers` everything but the
    framing (`Content-Length`, `Transfer-Encoding`), which follows from `body`.
    Not frozen, since one is made for each request.
    """

    method: str
    path: str
    headers: CIMultiDict[str]
    body: HttpBody
