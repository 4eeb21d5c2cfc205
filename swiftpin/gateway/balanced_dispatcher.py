"""Requests for services whose targets own no keys."""

from __future__ import annotations

from http import HTTPStatus
from random import Random
from typing import Final

from swiftpin.config.catalog import Catalog
from swiftpin.config.service import Service
from swiftpin.config.target_spec import TargetSpec
from swiftpin.core import callback, monotonic_now
from swiftpin.dispatch.balancer import TargetBalancer
from swiftpin.dispatch.http_answer import HttpAnswer
from swiftpin.exceptions import (
    AnswerCutShortError,
    AnswerLostError,
    NoOwnerError,
    OnceNotSupportedError,
    QueueFullError,
    TargetConnectError,
    TargetRefusedError,
)
from swiftpin.gateway.exchange import Exchange
from swiftpin.gateway.free_permit import FreePermit
from swiftpin.gateway.request_fingerprint import request_fingerprint
from swiftpin.gateway.target_job import TargetJob
from swiftpin.gateway.target_name import TargetName
from swiftpin.gateway.target_runner import TargetRunner
from swiftpin.result import ResultCode

ANSWERED: Final = ResultCode.ANSWERED.value
TARGET_FAULTS: Final = (
    AnswerCutShortError,
    AnswerLostError,
    TargetConnectError,
    TargetRefusedError,
)


class BalancedDispatcher:
    """Sends each request to a target that should answer it soon."""

    def __init__(self, catalog: Catalog, runner: TargetRunner, rng: Random) -> None:
        self._catalog = catalog
        self._runner = runner
        self._rng = rng
        self._balancers_by_service: dict[str, TargetBalancer] = {}

    async def async_dispatch(self, exchange: Exchange, tried: set[str]) -> None:
        """Run a request at a target that is not in `tried`, and add it there.

        A target whose queue is full is passed over, since another may have room.
        """
        incoming = exchange.incoming
        if not incoming.request_class.repeatable:
            raise OnceNotSupportedError(
                f"requests of class {incoming.request_class.name} must not run twice;"
                " that needs a service divided by key"
            )
        full: QueueFullError | None = None
        while (target := self._choose(incoming.service, tried)) is not None:
            tried.add(target.id)
            exchange.record.target = target.id
            try:
                await self._async_try(exchange, target)
            except QueueFullError as err:
                full = err
            else:
                return
        raise full or NoOwnerError("the service has no target that may be used")

    @callback
    def record_probe(self, name: TargetName, failed: bool) -> None:
        """Take a probe's answer into account."""
        balancer = self._balancers_by_service.get(name.service)
        if balancer is not None:
            balancer.record_probe(name.target, failed=failed)

    async def _async_try(self, exchange: Exchange, target: TargetSpec) -> None:
        """Run the request at one target."""
        balancer = self._balancer(exchange.incoming.service)
        trial = _Trial(exchange)
        balancer.start(target.id)
        try:
            await self._runner.async_run(trial.job(target), trial.async_receive)
        except TARGET_FAULTS:
            trial.failed = True
            raise
        finally:
            balancer.end(
                target.id,
                latency=trial.latency,
                failed=trial.failed,
                now=monotonic_now(),
            )

    @callback
    def _choose(self, service: Service, tried: set[str]) -> TargetSpec | None:
        """Return a target that is neither leaving nor tried, None without one."""
        leaving = {
            stop.target
            for stop in self._catalog.planned_stops_by_name.values()
            if stop.service == service.name
        }
        usable = [
            target
            for target in service.targets_by_id
            if target not in tried and target not in leaving
        ]
        chosen = self._balancer(service).choose_target(usable, monotonic_now())
        return None if chosen is None else service.targets_by_id[chosen]

    @callback
    def _balancer(self, service: Service) -> TargetBalancer:
        """Return the service's balancer."""
        balancer = self._balancers_by_service.get(service.name)
        if balancer is None:
            balancer = TargetBalancer(self._rng)
            self._balancers_by_service[service.name] = balancer
        return balancer


class _Trial:
    """One try at one target, and what the balancer learns from it."""

    __slots__ = ("_exchange", "_sent_at", "failed", "latency")

    def __init__(self, exchange: Exchange) -> None:
        self.latency: float | None = None
        self.failed = False
        self._exchange = exchange
        self._sent_at = monotonic_now()

    @callback
    def job(self, target: TargetSpec) -> TargetJob:
        """Return the request together with the target."""
        exchange = self._exchange
        return TargetJob(
            incoming=exchange.incoming,
            body=exchange.body,
            state=exchange.state,
            target=target,
            route=None,
            permit=FreePermit(exchange.incoming),
            fingerprint=request_fingerprint(exchange.incoming, exchange.body),
        )

    async def async_receive(self, answer: HttpAnswer) -> None:
        """Note how soon the target answered, and pass the answer on."""
        self.latency = monotonic_now() - self._sent_at
        self.failed = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        await self._exchange.writer.async_write_answer(answer, ANSWERED)
