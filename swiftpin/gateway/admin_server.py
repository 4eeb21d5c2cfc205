"""Metrics, health, status and explanations for operators."""

from __future__ import annotations

from http import HTTPStatus

from aiohttp import web
import orjson
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from swiftpin.core import callback
from swiftpin.exceptions import RequestError
from swiftpin.gateway.error_answer import CONTENT_TYPE_JSON, error_body
from swiftpin.gateway.instance_status import InstanceStatus
from swiftpin.gateway.metrics import Metrics
from swiftpin.gateway.route_explainer import RouteExplainer
from swiftpin.helpers.address import Address

PATH_METRICS = "/metrics"
PATH_HEALTH = "/healthz"
PATH_READY = "/readyz"
PATH_STATUS = "/v1/status"
PATH_EXPLAIN = "/v1/explain"


class AdminServer:
    """Server of the admin port."""

    def __init__(
        self, metrics: Metrics, status: InstanceStatus, explainer: RouteExplainer
    ) -> None:
        self._metrics = metrics
        self._status = status
        self._explainer = explainer
        self._runner: web.AppRunner | None = None

    async def async_setup(self, address: Address) -> Address:
        """Listen; return the address with the port that was taken.

        Raises `OSError` when the address cannot be used.
        """
        app = web.Application()
        app.router.add_get(PATH_METRICS, self._async_metrics)
        app.router.add_get(PATH_HEALTH, self._async_health)
        app.router.add_get(PATH_READY, self._async_ready)
        app.router.add_get(PATH_STATUS, self._async_status)
        app.router.add_get(PATH_EXPLAIN, self._async_explain)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        self._runner = runner
        await web.TCPSite(runner, address.host, address.port).start()
        return Address(host=address.host, port=runner.addresses[0][1])

    async def async_unload(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _async_metrics(self, _request: web.Request) -> web.Response:
        """Answer with the metrics in Prometheus' text form."""
        return web.Response(
            body=generate_latest(self._metrics.registry),
            headers={"Content-Type": CONTENT_TYPE_LATEST},
        )

    async def _async_health(self, _request: web.Request) -> web.Response:
        """Answer that the process runs."""
        return web.Response(text="ok\n")

    async def _async_ready(self, _request: web.Request) -> web.Response:
        """Answer whether the balancer should send callers here."""
        lifecycle = self._status.lifecycle
        if lifecycle.ready:
            return web.Response(text="ready\n")
        text = "leaving\n" if lifecycle.leaving else "starting\n"
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE, text=text)

    async def _async_status(self, _request: web.Request) -> web.Response:
        """Answer with the instance's status."""
        return _json(self._status.document())

    async def _async_explain(self, request: web.Request) -> web.Response:
        """Answer where a key's requests go, and why."""
        query = request.query
        try:
            document = self._explainer.explain(
                query.get("service", ""), query.get("key", "")
            )
        except RequestError as err:
            return web.Response(
                status=err.status,
                body=error_body(err),
                content_type=CONTENT_TYPE_JSON,
            )
        return _json(document)


@callback
def _json(document: object) -> web.Response:
    """Return a JSON answer."""
    return web.Response(body=orjson.dumps(document), content_type=CONTENT_TYPE_JSON)
