"""HTTP client of the object store."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any, Final

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientHandlerType,
    ClientOSError,
    ClientRequest,
    ClientResponse,
    ClientResponseError,
    ClientSession,
    ClientTimeout,
    ServerDisconnectedError,
)
import orjson

from swiftpin.exceptions import (
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from swiftpin.security.store_access import NO_CREDENTIALS, StoreAccess
from swiftpin.store.listing import Listing
from swiftpin.store.stored_object import StoredObject
from swiftpin.store.watch_event import WatchEvent
from swiftpin.store.watch_result import WatchResult

DEFAULT_CALL_TIMEOUT: Final = 1.0
WATCH_GRACE: Final = 5.0
HEADER_INSTANCE: Final = "Swiftpin-Instance"
"""Identifies the calling instance to the store."""

ABSENT: Final = 0
"""Expected version of an object that must not exist yet."""


async def _async_send_once(
    request: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Send a write without aiohttp's automatic retry.

    A session resends PUT and DELETE if the connection closes without an answer. The
    retry of a conditional write then conflicts with the first attempt, and a write that
    succeeded would be reported as a conflict.
    """
    try:
        return await handler(request)
    except (ServerDisconnectedError, ClientOSError) as err:
        if isinstance(err, ClientConnectorError):
            raise
        raise StoreOutcomeUnknownError(
            f"the connection failed: {_describe(err)}"
        ) from err


_SEND_ONCE: Final = (_async_send_once,)


def _describe(err: Exception) -> str:
    """Return a description of an error that contains no credentials.

    aiohttp's own text for an invalid answer, or for too many redirects, includes the
    request's headers and thus the token.
    """
    if isinstance(err, ClientResponseError):
        return f"{type(err).__name__}({err.status}, {err.message!r})"
    return repr(err)


def _version(response: ClientResponse) -> int:
    """Return the version in the `ETag` header, 0 if there is none."""
    return int(response.headers.get("ETag", '"0"').strip('"'))


class StoreClient:
    """Client of the object store; every call has a timeout in seconds.

    Reads raise `StoreUnavailableError`. Writes raise `StoreConflictError` if the object
    has another version, `StoreUnavailableError` if the connection failed, and
    `StoreOutcomeUnknownError` if the write may have taken effect.
    """

    def __init__(
        self,
        session: ClientSession,
        url: str,
        *,
        timeout: float = DEFAULT_CALL_TIMEOUT,
        instance_id: str = "",
        access: StoreAccess = NO_CREDENTIALS,
    ) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._timeout = ClientTimeout(total=timeout)
        self._instance_id = instance_id
        self._access = access
        self.calls = 0

    async def async_get(self, name: str) -> StoredObject | None:
        """Return the object, None if it does not exist."""
        self.calls += 1
        try:
            async with self._session.get(
                f"{self._url}/v1/objects/{name}",
                headers=self._headers(),
                timeout=self._timeout,
                ssl=self._access.ssl(),
            ) as response:
                if response.status == HTTPStatus.NOT_FOUND:
                    return None
                self._raise_for_read(response)
                body = await response.read()
                return StoredObject(name=name, version=_version(response), body=body)
        except (ClientError, TimeoutError) as err:
            raise StoreUnavailableError(f"reading {name}: {_describe(err)}") from err

    async def async_list(self, prefix: str, *, bodies: bool = False) -> Listing:
        """Return the objects under the prefix."""
        params = {"prefix": prefix, "bodies": "1" if bodies else "0"}
        answer = await self._async_read_json("/v1/objects", params, self._timeout)
        objects_by_name = {
            item["name"]: StoredObject(
                name=item["name"],
                version=item["version"],
                body=item.get("body", "").encode(),
            )
            for item in answer["objects"]
        }
        return Listing(revision=answer["revision"], objects_by_name=objects_by_name)

    async def async_watch(
        self, prefix: str, after: int, wait: float
    ) -> WatchResult | None:
        """Wait for changes after a revision.

        Return None if the store no longer keeps the changes since the revision.
        """
        params = {"prefix": prefix, "after": str(after), "wait": str(wait)}
        timeout = ClientTimeout(total=wait + WATCH_GRACE)
        answer = await self._async_read_json("/v1/watch", params, timeout)
        if answer is None:
            return None
        events = [
            WatchEvent(
                name=item["name"],
                version=item["version"],
                deleted=item["kind"] == "delete",
            )
            for item in answer["events"]
        ]
        return WatchResult(revision=answer["revision"], events=events)

    async def async_put(
        self, name: str, body: bytes, *, expect: int | None = None
    ) -> int:
        """Write the object and return its new version.

        `expect` is the version to replace, `ABSENT` to create the object, None for any
        version.
        """
        self.calls += 1
        try:
            async with self._session.put(
                f"{self._url}/v1/objects/{name}",
                data=body,
                headers=self._conditional_headers(expect),
                timeout=self._timeout,
                ssl=self._access.ssl(),
                middlewares=_SEND_ONCE,
            ) as response:
                self._raise_for_write(name, response)
                return _version(response)
        except ClientConnectorError as err:
            raise StoreUnavailableError(f"writing {name}: {_describe(err)}") from err
        except (ClientError, TimeoutError) as err:
            raise StoreOutcomeUnknownError(f"writing {name}: {_describe(err)}") from err

    async def async_delete(self, name: str, *, expect: int | None = None) -> None:
        """Delete the object, if it exists."""
        self.calls += 1
        try:
            async with self._session.delete(
                f"{self._url}/v1/objects/{name}",
                headers=self._conditional_headers(expect),
                timeout=self._timeout,
                ssl=self._access.ssl(),
                middlewares=_SEND_ONCE,
            ) as response:
                if response.status == HTTPStatus.NOT_FOUND:
                    return
                self._raise_for_write(name, response)
        except ClientConnectorError as err:
            raise StoreUnavailableError(f"deleting {name}: {_describe(err)}") from err
        except (ClientError, TimeoutError) as err:
            raise StoreOutcomeUnknownError(
                f"deleting {name}: {_describe(err)}"
            ) from err

    async def _async_read_json(
        self, path: str, params: dict[str, str], timeout: ClientTimeout
    ) -> Any:  # noqa: ANN401 - a decoded JSON document
        """Return the decoded answer to a read, None on status 410."""
        self.calls += 1
        try:
            async with self._session.get(
                f"{self._url}{path}",
                params=params,
                headers=self._headers(),
                timeout=timeout,
                ssl=self._access.ssl(),
            ) as response:
                if response.status == HTTPStatus.GONE:
                    return None
                self._raise_for_read(response)
                return orjson.loads(await response.read())
        except (ClientError, TimeoutError) as err:
            raise StoreUnavailableError(f"reading {path}: {_describe(err)}") from err

    def _headers(self) -> dict[str, str]:
        """Return the headers common to all calls."""
        headers = self._access.headers()
        if self._instance_id:
            headers[HEADER_INSTANCE] = self._instance_id
        return headers

    def _conditional_headers(self, expect: int | None) -> dict[str, str]:
        """Return the headers of a conditional write."""
        headers = self._headers()
        if expect == ABSENT:
            headers["If-None-Match"] = "*"
        elif expect is not None:
            headers["If-Match"] = f'"{expect}"'
        return headers

    @staticmethod
    def _raise_for_read(response: ClientResponse) -> None:
        """Raise an error if a read failed."""
        if response.status != HTTPStatus.OK:
            raise StoreUnavailableError(f"the store answered {response.status}")

    @staticmethod
    def _raise_for_write(name: str, response: ClientResponse) -> None:
        """Raise an error unless a write took effect."""
        if response.status == HTTPStatus.PRECONDITION_FAILED:
            raise StoreConflictError(name, _version(response))
        if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise StoreOutcomeUnknownError(f"the store answered {response.status}")
        if response.status >= HTTPStatus.BAD_REQUEST:
            raise StoreError(f"the store refused {name}: {response.status}")
