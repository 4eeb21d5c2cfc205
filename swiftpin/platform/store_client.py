"""Client of the platform's object store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus
import re
from typing import Any, Final
from urllib.parse import quote

from aiohttp.hdrs import CONTENT_TYPE, HOST
from multidict import CIMultiDict
import orjson

from swiftpin.core import callback, monotonic_now
from swiftpin.dispatch.http_client import HttpClient
from swiftpin.dispatch.http_request import HttpRequest
from swiftpin.dispatch.http_send_state import HttpSendState
from swiftpin.exceptions import (
    AnswerBrokenError,
    AnswerTooLongError,
    RequestNotSentError,
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from swiftpin.helpers.bytes_body import BytesBody
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.model.store_era import StoreEra
from swiftpin.model.store_revision import era_of, number_of
from swiftpin.platform.names import (
    CONTENT_TYPE_JSON,
    HEADER_STORE_ERA,
    MILLISECONDS_PER_SECOND,
    PATH_OBJECTS,
)
from swiftpin.platform.platform_object import PlatformObject
from swiftpin.platform.store_answers import (
    ObjectChanges,
    ObjectList,
    decode_era,
    parse_changes,
    parse_list,
    parse_object,
)
from swiftpin.store_errors import (
    HistoryGoneError,
    ObjectMissingError,
    StoreAnswerTooLongError,
)

CALL_TIMEOUT: Final = 1.5
"""Timeout of a call in seconds. An idle store answers in 4 ms, one slowed down 100
times in about 0.4 s; a lost answer must not delay the renewal of a lease for long."""

WATCH_GRACE: Final = 1.0
"""Seconds after the end of a watch's wait at which its connection counts as dead."""

MAX_LIST_PAGES: Final = 1000

MAX_ANSWER: Final = 16 * 1024 * 1024
"""Maximum length of an answer in bytes. A page or an object has some 1 MiB."""

MAX_READ_TIME: Final = 30.0
"""Seconds within which an answer that keeps arriving must end."""


class StoreClient:
    """Client of the store; its calls count towards limits shared by all instances.

    Reads raise `StoreUnavailableError` if no answer arrives. Writes raise it only if
    they are guaranteed to have no effect, otherwise `StoreOutcomeUnknownError`.
    """

    def __init__(
        self,
        address: str,
        client: HttpClient,
        on_call: Callable[[str, str, str], None] | None = None,
    ) -> None:
        self._address = address
        self._client = client
        self._on_call = on_call
        """Called after each call with its method, kind and outcome."""

        self.era = StoreEra()

    async def async_list(self, kind: str) -> ObjectList:
        """Return all objects of a kind and the revision from which to watch them."""
        objects: list[PlatformObject] = []
        last_name = ""
        first_revision: int | None = None
        for _ in range(MAX_LIST_PAGES):
            query = f"?after={quote(last_name, safe='')}" if last_name else ""
            page = parse_list(*await self._async_read(f"{kind}{query}"))
            if self.era.is_outdated(first_revision):
                raise StoreUnavailableError(
                    f"listing {kind}: the store was restored meanwhile"
                )
            objects.extend(page.objects)
            # Later pages may contain later changes. A watch from the first page's
            # revision reports those again, so none is missed.
            if first_revision is None:
                first_revision = page.revision
            if not page.has_more or not page.objects:
                break
            last_name = _last_name(page, last_name)
        return ObjectList(
            objects=tuple(objects), revision=first_revision or 0, has_more=False
        )

    async def async_get(
        self, kind: str, name: str, *, limit: float = CALL_TIMEOUT
    ) -> PlatformObject:
        """Return an object; raise `ObjectMissingError` if it does not exist."""
        path = f"{kind}/{quote(name, safe='')}"
        return parse_object(*await self._async_read(path, limit))

    async def async_watch(
        self, kind: str, revision: int, wait: float, *, grace: float = WATCH_GRACE
    ) -> ObjectChanges:
        """Return the changes after a revision, waiting up to `wait` seconds for one.

        Raises `HistoryGoneError` if the store no longer keeps them or they are too
        long, and `StoreUnavailableError` if no answer arrives within `grace` seconds of
        the wait.
        """
        number = number_of(revision)
        query = f"?watch={number}&wait_ms={int(wait * MILLISECONDS_PER_SECOND)}"
        if self.era.is_outdated(revision):
            raise HistoryGoneError(f"{kind}{query} of era {era_of(revision)}")
        limit = wait + grace
        try:
            changes = parse_changes(*await self._async_read(f"{kind}{query}", limit))
        except StoreAnswerTooLongError as err:
            # A list has pages, the changes since a revision have none.
            raise HistoryGoneError(str(err)) from err
        if self.era.is_outdated(revision):
            raise HistoryGoneError(f"{kind}{query} of era {era_of(revision)}")
        return changes

    async def async_create(
        self, kind: str, name: str, content: object, *, limit: float = CALL_TIMEOUT
    ) -> int:
        """Create an object and return its revision.

        Raises `StoreConflictError` if it already exists.
        """
        document = {"metadata": {"name": name}, "specification": content}
        return await self._async_write("POST", kind, name, document, limit, None)

    async def async_replace(
        self,
        kind: str,
        name: str,
        content: object,
        revision: int | None,
        *,
        limit: float = CALL_TIMEOUT,
    ) -> int:
        """Replace an object that is still at `revision`; return the new revision.

        Raises `StoreConflictError` if the object has another revision.
        """
        metadata: dict[str, object] = {"name": name, "finalizers": []}
        if revision is not None:
            metadata["revision"] = number_of(revision)
        document = {"metadata": metadata, "specification": content}
        path = f"{kind}/{quote(name, safe='')}"
        return await self._async_write("PUT", path, name, document, limit, revision)

    async def async_delete(self, kind: str, name: str, revision: int) -> None:
        """Delete an object that is still at `revision`."""
        path = f"{kind}/{quote(name, safe='')}?revision={number_of(revision)}"
        await self._async_write("DELETE", path, name, None, CALL_TIMEOUT, revision)

    async def _async_read(
        self, path: str, limit: float = CALL_TIMEOUT
    ) -> tuple[bytes, int]:
        """Send a GET; return the body of the answer and its era."""
        try:
            status, body, era = await self._async_call("GET", path, b"", limit)
        except AnswerTooLongError as err:
            raise StoreAnswerTooLongError(f"reading {path}: {err}") from err
        except (RequestNotSentError, AnswerBrokenError, TimeoutError) as err:
            raise StoreUnavailableError(f"reading {path}: {err!r}") from err
        if status == HTTPStatus.OK:
            return body, era
        if status == HTTPStatus.GONE:
            raise HistoryGoneError(path)
        if status == HTTPStatus.NOT_FOUND:
            raise ObjectMissingError(path)
        raise StoreUnavailableError(f"reading {path}: status {status}")

    async def _async_write(
        self,
        method: str,
        path: str,
        name: str,
        document: dict[str, Any] | None,
        limit: float,
        expected: int | None,
    ) -> int:
        """Send a write and return the object's new revision.

        `expected` is the revision that the object must have, None for any.
        """
        if self.era.is_outdated(expected):
            raise StoreConflictError(name, 0)
        payload = b"" if document is None else orjson.dumps(document)
        try:
            status, body, era = await self._async_call(method, path, payload, limit)
        except RequestNotSentError as err:
            raise StoreUnavailableError(f"writing {path}: {err!r}") from err
        except (AnswerBrokenError, TimeoutError) as err:
            raise StoreOutcomeUnknownError(f"writing {path}: {err!r}") from err
        if HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES:
            if self.era.is_outdated(expected):
                # The write may have replaced a later change with the same number.
                raise StoreOutcomeUnknownError(
                    f"writing {path}: the store was restored"
                )
            return _written_revision(path, body, era)
        if status == HTTPStatus.CONFLICT:
            raise StoreConflictError(name, _conflicting_revision(body, era))
        if status == HTTPStatus.NOT_FOUND:
            raise ObjectMissingError(path)
        if status in (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS):
            raise StoreUnavailableError(f"writing {path}: status {status}")
        if status < HTTPStatus.INTERNAL_SERVER_ERROR:
            raise StoreError(f"writing {path}: status {status}: {body[:200]!r}")
        raise StoreOutcomeUnknownError(f"writing {path}: status {status}")

    async def _async_call(
        self, method: str, path: str, payload: bytes, limit: float
    ) -> tuple[int, bytes, int]:
        """Send a call; return status, body and era of the answer."""
        headers = CIMultiDict({HOST: self._address})
        if payload:
            headers[CONTENT_TYPE] = CONTENT_TYPE_JSON
        request = HttpRequest(
            method=method,
            path=f"{PATH_OBJECTS}/{path}",
            headers=headers,
            body=BytesBody(payload),
        )
        outcome = "no_answer"
        try:
            async with asyncio.timeout(limit) as timeout:
                answer = await self._client.async_exchange(
                    self._address, request, HttpSendState(), _allow_call
                )
                try:
                    answer.limit_body(
                        MAX_ANSWER, asyncio.get_running_loop().time() + MAX_READ_TIME
                    )
                    answer.extend_while_arriving(timeout)
                    era = self.era.observe(
                        decode_era(answer.headers.get(HEADER_STORE_ERA)),
                        suspend_aware_now(),
                    )
                    body = await answer.async_read_whole()
                finally:
                    answer.finish(monotonic_now())
            outcome = str(answer.status)
        finally:
            if self._on_call is not None:
                kind = re.split("[/?]", path, maxsplit=1)[0]
                self._on_call(method, kind, outcome)
        return answer.status, body, era


def _last_name(page: ObjectList, previous_last_name: str) -> str:
    """Return the name after which the next page starts.

    Without a name the rest of the list can't be read; a partial list must not be used,
    because all missing objects would count as deleted.
    """
    names = [listed.name for listed in page.objects if listed.name]
    if not names or names[-1] <= previous_last_name:
        raise StoreUnavailableError("the page has no name to continue from")
    return names[-1]


@callback
def _allow_call(now: float) -> None:
    """Allow every call."""


def _written_revision(path: str, body: bytes, era: int) -> int:
    """Return the revision in the answer to a successful write, 0 if there is none.

    The write took effect even if the answer is malformed: reported as failed, it would
    be repeated and conflict with itself.
    """
    if not body:
        return 0
    try:
        return parse_object(body, era).revision
    except StoreUnavailableError as err:
        raise StoreOutcomeUnknownError(f"writing {path}: {err}") from err


def _conflicting_revision(body: bytes, era: int) -> int:
    """Return the object's revision in a conflict answer, 0 if there is none."""
    try:
        return parse_object(body, era).revision
    except StoreError:
        # Some conflict answers lack the object; callers that need it read it again.
        return 0
