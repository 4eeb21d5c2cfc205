"""HTTP client of one target's control interface."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any, Final

from aiohttp import ClientError, ClientSession, ClientTimeout
import orjson

from swiftpin.config.target_spec import TargetSpec
from swiftpin.exceptions import (
    TargetError,
    TargetFencedError,
    TargetRestartedError,
    TargetUnreachableError,
)
from swiftpin.security.tls_connector import session_tls
from swiftpin.targets.fence_reply import FenceReply
from swiftpin.targets.fence_request import FenceRequest
from swiftpin.targets.grant_reply import GrantReply
from swiftpin.targets.grant_update import GrantUpdate
from swiftpin.targets.held_slice import HeldSlice
from swiftpin.targets.target_status import TargetStatus

DEFAULT_CONTROL_TIMEOUT: Final = 0.3
MILLISECONDS: Final = 1000


class TargetClient:
    """Control calls to one target.

    Each call raises `TargetUnreachableError` when no answer came in time,
    `TargetFencedError` when the target follows another holder, and
    `TargetRestartedError` when it runs under another boot id. Calls use TLS if the
    session was made for it.
    """

    def __init__(
        self,
        session: ClientSession,
        spec: TargetSpec,
        *,
        timeout: float = DEFAULT_CONTROL_TIMEOUT,
    ) -> None:
        self.spec = spec
        self._session = session
        self._timeout = timeout
        self._tls = session_tls(session)
        scheme = "http" if self._tls is None else "https"
        self._url = f"{scheme}://{spec.address}/_target"

    async def async_status(self) -> TargetStatus:
        """Ask the target for its state."""
        raw = await self._async_call("GET", "status", None, self._timeout)
        try:
            return TargetStatus(
                boot_id=raw["boot_id"],
                clock=raw["clock"],
                slots=raw["slots"],
                busy=raw["busy"],
                queued=raw["queued"],
                draining=raw["draining"],
                cold=raw["cold"],
            )
        except (KeyError, TypeError) as err:
            raise TargetError(f"{self.spec.id} sent a bad status") from err

    async def async_fence(self, request: FenceRequest) -> FenceReply:
        """Make the target refuse every holder of a lower term."""
        body = {
            "service": request.group.service,
            "group": request.group.group,
            "term": request.term,
            "holder": request.holder,
        }
        raw = await self._async_call("POST", "fence", body, self._timeout)
        try:
            slices_by_id = {
                slice_id: HeldSlice(slice_id=slice_id, term=term, expires_at=expires_at)
                for slice_id, term, expires_at in raw["slices"]
            }
            return FenceReply(
                boot_id=raw["boot_id"], clock=raw["clock"], slices_by_id=slices_by_id
            )
        except (KeyError, TypeError, ValueError) as err:
            raise TargetError(f"{self.spec.id} sent a bad fence reply") from err

    async def async_update(self, update: GrantUpdate) -> GrantReply:
        """Renew, add and revoke grants."""
        body = {
            "service": update.group.service,
            "group": update.group.group,
            "term": update.term,
            "holder": update.holder,
            "boot_id": update.boot_id,
            "expires_at": update.expires_at,
            "grant": list(update.grant_terms_by_id.items()),
            "revoke": sorted(update.revoke),
            "revoke_wait": round(update.revoke_wait * MILLISECONDS),
        }
        timeout = self._timeout + update.revoke_wait
        raw = await self._async_call("POST", "grants", body, timeout, update.boot_id)
        try:
            return GrantReply(
                clock=raw["clock"], held=raw["held"], busy=frozenset(raw["busy"])
            )
        except (KeyError, TypeError) as err:
            raise TargetError(f"{self.spec.id} sent a bad grant reply") from err

    async def _async_call(
        self,
        method: str,
        name: str,
        body: object,
        timeout: float,
        boot_id: str | None = None,
    ) -> Any:  # noqa: ANN401 - a decoded JSON document
        """Make one call, to a given start of the target if it matters."""
        url = f"{self._url}/{name}"
        ssl = True if self._tls is None else self._tls.context
        data = None if body is None else orjson.dumps(body)
        try:
            async with self._session.request(
                method,
                url,
                data=data,
                timeout=ClientTimeout(total=timeout),
                ssl=ssl,
            ) as response:
                answer = orjson.loads(await response.read())
                status = response.status
        except (ClientError, TimeoutError, OSError, orjson.JSONDecodeError) as err:
            raise TargetUnreachableError(f"{self.spec.id}: {err!r}") from err
        if status == HTTPStatus.CONFLICT:
            self._raise_conflict(answer, boot_id)
        if status != HTTPStatus.OK:
            raise TargetUnreachableError(f"{self.spec.id} answered {status}")
        return answer

    def _raise_conflict(
        self,
        answer: Any,  # noqa: ANN401 - a decoded JSON document
        boot_id: str | None,
    ) -> None:
        """Tell a restarted target from one that follows another holder."""
        try:
            answering, term, holder = (
                answer["boot_id"],
                answer["term"],
                answer["holder"],
            )
        except (KeyError, TypeError) as err:
            raise TargetError(f"{self.spec.id} sent a bad refusal") from err
        if boot_id is not None and answering != boot_id:
            raise TargetRestartedError(f"{self.spec.id} runs as {answering}")
        raise TargetFencedError(self.spec.id, int(term), str(holder))
