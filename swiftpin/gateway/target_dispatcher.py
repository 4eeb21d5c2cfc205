"""Repeatable requests for keys whose group this instance holds."""

from __future__ import annotations

from functools import partial
from typing import Final

from swiftpin.core import callback
from swiftpin.exceptions import NoOwnerError, NotHolderError
from swiftpin.gateway.exchange import Exchange
from swiftpin.gateway.lease_permit import LeasePermit
from swiftpin.gateway.ports import Ownership
from swiftpin.gateway.request_fingerprint import request_fingerprint
from swiftpin.gateway.target_job import TargetJob
from swiftpin.gateway.target_runner import TargetRunner
from swiftpin.ownership.route import Route
from swiftpin.result import ResultCode

ANSWERED: Final = ResultCode.ANSWERED.value


class TargetDispatcher:
    """Runs requests at the targets that own their keys."""

    def __init__(self, ownership: Ownership, runner: TargetRunner) -> None:
        self.runner = runner
        self._ownership = ownership

    async def async_dispatch(self, exchange: Exchange, route: Route) -> None:
        """Run a repeatable request and write its answer."""
        receive = partial(exchange.writer.async_write_answer, result=ANSWERED)
        try:
            await self.runner.async_run(self.job(exchange, route), receive)
        except NoOwnerError as err:
            raise left_route(err) from err

    @callback
    def job(self, exchange: Exchange, route: Route) -> TargetJob:
        """Return the request together with the route's target."""
        incoming = exchange.incoming
        return TargetJob(
            incoming=incoming,
            body=exchange.body,
            state=exchange.state,
            target=route.target,
            route=route,
            permit=LeasePermit(self._ownership, incoming, route),
            fingerprint=request_fingerprint(incoming, exchange.body),
        )


@callback
def left_route(err: NoOwnerError) -> NotHolderError:
    """Return the error of a request whose route ended while it waited for a slot.

    Told "no owner", the entry instance would give up; told that this instance is not
    the holder any more, it looks for the new one.
    """
    return NotHolderError(err.hint, retry_after=err.retry_after)
