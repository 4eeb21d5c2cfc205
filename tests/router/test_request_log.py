"""Tests of the log line and the counters of each request."""

from __future__ import annotations

import asyncio
from io import BytesIO
import re

import pytest

from swiftpin.helpers.logging_setup import LoggingSetup
from swiftpin.permits.permit_broker import PermitBroker
from swiftpin.router.app import Router
from swiftpin.router.call import Call
from swiftpin.router.request_sender import RequestSender
from tests.router.site import Reply, Site

INSTANCE = "i2"


@pytest.fixture(name="logging")
async def logging_fixture(site: Site) -> LoggingSetup:
    """Return the log of a third instance; its lines stay in the writer's queue."""
    logging = LoggingSetup(BytesIO(), "info")
    await site.async_add_router(INSTANCE, logging)
    await site.async_wait(site.is_served)
    return logging


def lines_of(logging: LoggingSetup, request_id: str) -> list[dict[str, str]]:
    """Return the fields of each log line of a request."""
    return [
        dict(re.findall(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)', line))
        for line in logging.writer._lines
        if f"request_id={request_id} " in line
    ]


def sample(router: Router, name: str, **labels: str) -> float:
    """Return the value of a metric, or 0 before its first event."""
    return router._metrics.registry.get_sample_value(name, labels) or 0.0


def owner_of(site: Site, key: int) -> str:
    """Return the target that owns a key according to the instance's key map."""
    return site.routers_by_name[INSTANCE]._maps.owner_of("desk", key)


async def test_refused_send_is_counted_though_the_request_is_served(
    site: Site, logging: LoggingSetup
) -> None:
    """The counters show why requests are sent again."""
    site.earn_retry_credit()
    site.targets_by_name[owner_of(site, 1)].requests_to_refuse = 1
    reply = await site.async_call("/read/x", via=INSTANCE)
    assert reply.status == 200
    (line,) = lines_of(logging, reply.headers["id"])
    assert line["outcome"] == "served"
    assert line["sends"] == "2"
    assert "refused: 503" in line["notes"]
    router = site.routers_by_name[INSTANCE]
    name = "swiftpin_router_step_failures_total"
    assert sample(router, name, service="desk", reason="refused") == 1
    assert sample(router, "swiftpin_router_retries_total", service="desk") == 1


async def test_request_whose_time_ends_in_the_queue_says_so(
    site: Site, logging: LoggingSetup, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Failure: four of ten refusals in an incident had no note and no reason.

    The requests waited for a slot until their route's timeout, and only a refusal by
    the queue itself was recorded.
    """

    async def async_wait(self: PermitBroker, query: object) -> None:
        await asyncio.Event().wait()

    monkeypatch.setattr(PermitBroker, "async_request_permit", async_wait)
    reply = await site.async_call("/read/x", via=INSTANCE, deadline=200)
    assert reply.status == 503
    (line,) = lines_of(logging, reply.headers["id"])
    assert line["outcome"] == "QUEUE_FULL"
    assert "time over" in line["notes"]
    router = site.routers_by_name[INSTANCE]
    name = "swiftpin_router_step_failures_total"
    assert sample(router, name, service="desk", reason="time_over") == 1


async def test_timeout_at_a_target_is_logged(site: Site, logging: LoggingSetup) -> None:
    """The log line names the target that had the request at the timeout."""
    owner = owner_of(site, 1)
    site.targets_by_name[owner].work = 1.0
    reply = await site.async_call("/read/x", via=INSTANCE, deadline=200)
    assert reply.status == 504
    (line,) = lines_of(logging, reply.headers["id"])
    assert line["outcome"] == "DEADLINE_EXCEEDED"
    assert line["notes"] == f'"{owner} had it to the end"'
    router = site.routers_by_name[INSTANCE]
    name = "swiftpin_router_step_failures_total"
    assert sample(router, name, service="desk", reason="given_up") == 1


async def test_late_answer_is_marked_and_counted(
    site: Site, logging: LoggingSetup
) -> None:
    """An answer after its latency objective shows in the log line and the counter."""
    site.targets_by_name[owner_of(site, 1)].work = 0.6
    reply = await site.async_call("/read/x", via=INSTANCE)
    assert reply.status == 200
    (line,) = lines_of(logging, reply.headers["id"])
    assert line["late"] == "true"
    router = site.routers_by_name[INSTANCE]
    assert sample(router, "swiftpin_router_late_answers_total", service="desk") == 1
    count = "swiftpin_router_slot_wait_seconds_count"
    assert sample(router, count, service="desk") == 1


async def test_log_line_shows_the_key_map_used_for_routing(
    site: Site, logging: LoggingSetup
) -> None:
    """Failure: a log line named a key map that was newer than the routing decision.

    A newer map was adopted while the request was at its target, and the line showed the
    map at the time of the answer.
    """
    router = site.routers_by_name[INSTANCE]
    owner = owner_of(site, 1)
    site.targets_by_name[owner].work = 0.3
    before = router._maps.maps_by_service["desk"]
    revision = router._directory.version
    calling = asyncio.create_task(site.async_call("/read/x", via=INSTANCE))
    await site.async_wait(lambda: site.targets_by_name[owner].running > 0)
    await site.async_add_target("t9", "desk")
    await site.async_wait(
        lambda: router._maps.maps_by_service["desk"].is_newer_than(before)
    )
    reply: Reply = await calling
    (line,) = lines_of(logging, reply.headers["id"])
    assert line["key_map"] == f"{before.term}.{before.number}"
    assert line["targets"] == str(revision)


async def test_internal_error_is_answered_as_unknown(
    site: Site, logging: LoggingSetup, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Failure: a caller was told that its request was malformed and had not run.

    The request had run at a target, and then the router's own code failed. The HTTP
    server answers any exception as a request that can't be parsed, and nothing was
    logged.
    """
    send = RequestSender.async_send

    async def async_fail(self: RequestSender, call: Call) -> None:
        (await send(self, call)).finish(0.0)
        raise KeyError("a fault")

    monkeypatch.setattr(RequestSender, "async_send", async_fail)
    reply = await site.async_call("/book/x", via=INSTANCE, method="POST")
    assert site.count_runs(reply.headers["id"]) == 1
    assert reply.status == 500
    assert b'"executed":"unknown"' in reply.body.replace(b" ", b"")
    (line,) = lines_of(logging, reply.headers["id"])
    assert line["outcome"] == "INTERNAL"
    assert line["executed"] == "unknown"
    assert "KeyError" in line["fault"]


async def test_request_that_is_not_http_is_counted_and_logged(
    site: Site, logging: LoggingSetup
) -> None:
    """Failure: callers got 400, but neither the log nor the metrics showed it."""
    callers = site.settings_by_name[INSTANCE].caller_address
    reader, writer = await asyncio.open_connection(callers.host, callers.port)
    writer.write(b"no request at all\r\n\r\n")
    assert b"400" in await reader.readline()
    writer.close()
    router = site.routers_by_name[INSTANCE]
    name = "swiftpin_router_requests_total"
    assert sample(router, name, service="-", outcome="malformed_request") == 1
    assert any("outcome=MALFORMED_REQUEST" in line for line in logging.writer._lines)
