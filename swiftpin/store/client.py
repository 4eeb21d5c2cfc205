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
from swiftpin.security.store_access import OPEN_ACCESS, StoreAccess
from swiftpin.store.listing import Listing
from swiftpin.store.stored_object import StoredObject
from swiftpin.store.watch_event import WatchEvent
from swiftpin.store.watch_result import WatchResult

DEFAULT_CALL_TIMEOUT: Final = 1.0
WATCH_GRACE: Final = 5.0
HEADER_INSTANCE: Final = "Swiftpin-Instance"
"""Tells the store which instance calls."""

ABSENT: Final = 0
"""Version to expect of an object that must not exist yet."""


async def _async_send_once(
    request: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Send a write without the second try that aiohttp makes by itself.

    A session sends PUT and DELETE again when the connection ends without an answer.
    The second try of a conditional write then meets the first one's effect, and a
    write that succeeded would be reported as a lost race.
    """
    try:
        return await handler(request)
    except (ServerDisconnectedError, ClientOSError) as err:
        if isinstance(err, ClientConnectorError):
            raise
        raise StoreOutcomeUnknownError(
            f"the connection broke: {_describe(err)}"
        ) from err


_SEND_ONCE: Final = (_async_send_once,)


def _describe(err: Exception) -> str:
    """Return what to say of an error.

    The library's own text of an answer that is no HTTP, or of one redirect too many,
    repeats the request's headers, and with them the token.
    """
    if isinstance(err, ClientResponseError):
        return f"{type(err).__name__}({err.status}, {err.message!r})"
    return repr(err)


def _version(response: ClientResponse) -> int:
    """Return the version in the `ETag` header, 0 when there is none."""
    return int(response.headers.get("ETag", '"0"').strip('"'))


class StoreClient:
    """Calls of the store, each with its own time limit in seconds.

    Reads raise `StoreUnavailableError`. Writes raise `StoreConflictError` on a lost
    race, `StoreUnavailableError` when no connection was made, and
    `StoreOutcomeUnknownError` when the write may have taken effect.
    """

    def __init__(
        self,
        session: ClientSession,
        url: str,
        *,
        timeout: float = DEFAULT_CALL_TIMEOUT,
        instance_id: str = "",
        access: StoreAccess = OPEN_ACCESS,
    ) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._timeout = ClientTimeout(total=timeout)
        self._instance_id = instance_id
        self._access = access
        self.calls = 0

    async def async_get(self, name: str) -> StoredObject | None:
        """Return the object, None when it is absent."""
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
        """Wait for changes after a revision; None when it is too old to know."""
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

        `expect` is the version to replace, `ABSENT` to create, None for any.
        """
        self.calls += 1
        try:
            async with self._session.put(
                f"{self._url}/v1/objects/{name}",
                data=body,
                headers=self._condition(expect),
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
        """Remove the object; an absent one is no error."""
        self.calls += 1
        try:
            async with self._session.delete(
                f"{self._url}/v1/objects/{name}",
                headers=self._condition(expect),
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
        """Return the decoded answer of a read, None on 410."""
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
        """Return the headers of every call."""
        headers = self._access.headers()
        if self._instance_id:
            headers[HEADER_INSTANCE] = self._instance_id
        return headers

    def _condition(self, expect: int | None) -> dict[str, str]:
        """Return the headers of a conditional write."""
        headers = self._headers()
        if expect == ABSENT:
            headers["If-None-Match"] = "*"
        elif expect is not None:
            headers["If-Match"] = f'"{expect}"'
        return headers

    @staticmethod
    def _raise_for_read(response: ClientResponse) -> None:
        """Raise when a read was not carried out."""
        if response.status != HTTPStatus.OK:
            raise StoreUnavailableError(f"the store answered {response.status}")

    @staticmethod
    def _raise_for_write(name: str, response: ClientResponse) -> None:
        """Raise when a write is not known to have taken effect."""
        if response.status == HTTPStatus.PRECONDITION_FAILED:
            raise StoreConflictError(name, _version(response))
        if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise StoreOutcomeUnknownError(f"the store answered {response.status}")
        if response.status >= HTTPStatus.BAD_REQUEST:
            raise StoreError(f"the store refused {name}: {response.status}")
