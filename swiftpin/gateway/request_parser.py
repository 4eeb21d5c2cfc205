"""Reading of requests' heads."""

from __future__ import annotations

from typing import Final

from aiohttp.web import BaseRequest
from multidict import CIMultiDictProxy

from swiftpin.config.catalog import Catalog
from swiftpin.config.profile import Profile
from swiftpin.config.request_class import RequestClass
from swiftpin.const import (
    HEADER_CALLER,
    HEADER_HOPS,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_REQUEST_ID,
    HEADER_TICKET,
    HEADER_TIMEOUT,
)
from swiftpin.exceptions import (
    BadHeaderError,
    DeadlineTooShortError,
    MissingIdempotencyKeyError,
    UnknownServiceError,
)
from swiftpin.gateway.incoming_request import IncomingRequest
from swiftpin.gateway.request_key import check_text, request_key
from swiftpin.gateway.request_path import split_path

MILLISECONDS: Final = 1000.0
MAX_IDEMPOTENCY_KEY_LENGTH: Final = 256
MAX_TIMEOUT_DIGITS: Final = 12
HOP_LIMIT: Final = 1
"""A request is sent on once at most; a second hop would be a loop of stale routes."""


class RequestParser:
    """Turns a request's head into an `IncomingRequest`.

    Raises `CallerMistakeError` and `DeadlineTooShortError`; nothing has run by then.
    """

    def __init__(self, catalog: Catalog) -> None:
        self._catalog = catalog

    def parse(
        self, request: BaseRequest, request_id: str, now: float
    ) -> IncomingRequest:
        """Return the request of a caller."""
        return self._parse(
            request, request_id, now, caller=request.remote or "", forwarded=False
        )

    def parse_forwarded(self, request: BaseRequest, now: float) -> IncomingRequest:
        """Return a request that another instance sent on."""
        headers = request.headers
        if headers.get(HEADER_HOPS) != str(HOP_LIMIT):
            raise BadHeaderError(f"{HEADER_HOPS} must be {HOP_LIMIT}")
        return self._parse(
            request,
            headers.get(HEADER_REQUEST_ID, ""),
            now,
            caller=headers.get(HEADER_CALLER, ""),
            forwarded=True,
        )

    def _parse(
        self,
        request: BaseRequest,
        request_id: str,
        now: float,
        *,
        caller: str,
        forwarded: bool,
    ) -> IncomingRequest:
        """Return the request, checked against the declarations in force."""
        headers = request.headers
        path = split_path(request.raw_path)
        service = self._catalog.service(path.service)
        if service is None:
            raise UnknownServiceError("no service of this name is declared")
        profile = self._catalog.profile_of(service)
        request_class = self._catalog.request_class(
            profile, request.method, path.decoded
        )
        key = request_key(headers, path, profile.key_rule) if service.keyed else ""
        return IncomingRequest(
            id=request_id,
            service=service,
            profile=profile,
            request_class=request_class,
            key=key,
            idempotency_key=_idempotency_key(headers, request_class),
            ticket=headers.get(HEADER_TICKET),
            method=request.method,
            full_path=request.raw_path,
            path=path.path,
            headers=headers,
            caller=caller,
            deadline=now + _timeout(headers, profile),
            forwarded=forwarded,
        )


def _timeout(headers: CIMultiDictProxy[str], profile: Profile) -> float:
    """Return the seconds left for the request."""
    value = headers.get(HEADER_TIMEOUT)
    if value is None:
        return profile.default_timeout
    if not value.isascii() or not value.isdigit() or len(value) > MAX_TIMEOUT_DIGITS:
        raise BadHeaderError(f"{HEADER_TIMEOUT} is not a number of milliseconds")
    timeout = int(value) / MILLISECONDS
    if timeout <= 0:
        raise DeadlineTooShortError(f"{HEADER_TIMEOUT} leaves no time")
    return min(timeout, profile.max_timeout)


def _idempotency_key(
    headers: CIMultiDictProxy[str], request_class: RequestClass
) -> str | None:
    """Return the idempotency key; a request that is not repeatable must have one."""
    values = headers.getall(HEADER_IDEMPOTENCY_KEY, None)
    if values is None:
        if request_class.repeatable:
            return None
        raise MissingIdempotencyKeyError(
            f"requests of class {request_class.name} need {HEADER_IDEMPOTENCY_KEY}"
        )
    if len(values) > 1:
        raise BadHeaderError(f"{HEADER_IDEMPOTENCY_KEY} is given more than once")
    if not values[0]:
        raise MissingIdempotencyKeyError(f"{HEADER_IDEMPOTENCY_KEY} is empty")
    check_text(values[0], HEADER_IDEMPOTENCY_KEY, MAX_IDEMPOTENCY_KEY_LENGTH)
    return values[0]
