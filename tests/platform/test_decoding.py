"""Tests of the adapter's decoders and encoders."""

from __future__ import annotations

import math
from typing import Any

import pytest

from swiftpin.discovery.target_list import decode_target_list, encode_target_list
from swiftpin.exceptions import ConfigurationError, StoreUnavailableError
from swiftpin.helpers.time_slices import run_to_completion
from swiftpin.model.request_kind import RequestKind
from swiftpin.platform.configuration import decode_configuration
from swiftpin.platform.platform_object import PlatformObject
from swiftpin.platform.request_head import (
    decode_answer_head,
    decode_request_head,
    encode_answer_headers,
    encode_request_headers,
    is_answer_to,
)
from swiftpin.platform.settings import decode_settings
from swiftpin.platform.store_answers import decode_changes, decode_list
from swiftpin.platform.target_entries import decode_target
from tests.router.site import ROUTES, configuration, route


@pytest.fixture(name="entry")
def entry_fixture() -> dict[str, Any]:
    """Return a target's entry in its stored form."""
    return {
        "metadata": {"name": "i-1", "revision": 7, "deleting": False},
        "specification": {
            "address": "10.0.0.1:80",
            "information": {
                "service": "desk",
                "version": "v1",
                "zone": "z1",
                "slots": 2,
            },
            "status": {"state": "draining", "sequence": 4, "cold_ms": 1500},
        },
        "status": None,
    }


def as_object(entry: dict[str, Any]) -> PlatformObject:
    """Return an entry as an object of the store."""
    return PlatformObject(name="i-1", revision=7, is_deleted=False, document=entry)


def test_target_state_is_read_from_the_specification(entry: dict[str, Any]) -> None:
    """Guards against rejecting all targets as malformed.

    The state was read from the object's own `status` field, which stays empty.
    """
    target = decode_target(as_object(entry))
    assert target.is_draining
    assert target.cold_for == 1.5
    assert target.revision == 7


def test_malformed_entry_is_an_error(entry: dict[str, Any]) -> None:
    """A malformed entry is distinguished from a deleted one."""
    del entry["specification"]["information"]["slots"]
    with pytest.raises(ConfigurationError):
        decode_target(as_object(entry))


def test_target_list_round_trip(entry: dict[str, Any]) -> None:
    """Instances send each other targets exactly as read from the store."""
    target = decode_target(as_object(entry))
    assert decode_target_list(encode_target_list([target])) == [target]


def test_longest_prefix_of_the_host_wins() -> None:
    """The route with the longest matching prefix is found."""
    document = configuration(3, [*ROUTES, route("/read/deep/", "unsafe")])
    decoded = run_to_completion(decode_configuration(document))
    assert decoded.version == 3
    deep = decoded.find_route("desk.example", "/read/deep/x")
    assert deep is not None
    assert deep.kind is RequestKind.ONCE
    assert deep.timeout == 1.0
    assert decoded.find_route("desk.example", "/read") is None
    assert decoded.find_route("other.example", "/read/x") is None


def test_unknown_kind_is_never_retried() -> None:
    """A kind added by a later version counts as not repeatable."""
    decoded = run_to_completion(
        decode_configuration(configuration(3, [route("/a/", "odd")]))
    )
    assert decoded.routes_by_host["desk.example"][0].kind is RequestKind.ONCE


def test_malformed_configuration_is_an_error() -> None:
    """A malformed configuration raises an error, so that the current one stays."""
    with pytest.raises(ConfigurationError):
        run_to_completion(decode_configuration({"version": "r9"}))


def settings_document(**more_bounds: float) -> dict[str, Any]:
    """Return the content of a settings file."""
    bounds = dict.fromkeys(
        ("drain_ms", "config_apply_ms", "hold_max_ms", "stability_window_ms"), 2000
    )
    return {
        "self": {
            "node": "n1",
            "zone": "z1",
            "ip": "10.0.0.2",
            "bootstrap": True,
            "limits": {"cpu_share": 0.5, "cores": 3},
        },
        "network": {
            "listen": {"front": "10.0.0.2:80", "ready": "10.0.0.2:81"},
            "internal_ports": [7720, 7735],
            "seeds": ["10.0.0.9:8166"],
        },
        "platform": {
            "heartbeat_ms": 870,
            "platform": {"address": "10.9.0.1:8169"},
        },
        "terms": {
            "bounds": {
                **bounds,
                "grace_s": 6,
                "budget_ratio": 0.2,
                "budget_window_s": 10,
                "budget_slack": 56,
                **more_bounds,
            }
        },
    }


def test_settings_contain_addresses_and_bounds() -> None:
    """Milliseconds become seconds, and peers use the first internal port."""
    settings = decode_settings(settings_document())
    assert str(settings.peer_address) == "10.0.0.2:7720"
    assert str(settings.relay_address) == "10.0.0.2:7721"
    assert settings.seeds == ("10.0.0.9:7720",)
    assert settings.bounds.drain_limit == 2.0
    assert settings.cpu_capacity == 1.5
    assert settings.bounds.evacuation_limit is None


def test_settings_tell_limits_of_the_instance_and_expected_overload() -> None:
    """Guards against limits that are assumed where the settings name none."""
    document = settings_document()
    settings = decode_settings(document)
    assert not settings.expects_overload
    assert math.isinf(settings.memory_limit)
    assert math.isinf(settings.max_descriptors)
    document["terms"]["contracts"] = ["base", "pressure"]
    document["self"]["limits"] |= {"memory_mb": 160, "file_descriptors": 1638}
    settings = decode_settings(document)
    assert settings.expects_overload
    assert settings.memory_limit == 160_000_000.0
    assert settings.max_descriptors == 1638


def test_settings_bound_evacuations_and_cold_targets() -> None:
    """The optional limits for evacuations and cold targets are read."""
    document = settings_document(evacuation_ms=5000, cold_overshoot=1.5, cold_slack=8)
    bounds = decode_settings(document).bounds
    assert bounds.evacuation_limit == 5.0
    assert bounds.cold_limit(4.0) == 14.0


def test_services_declare_rates_of_cold_targets() -> None:
    """A service without a declared rate has no limit."""
    document = configuration(7, ROUTES)
    document["services"][0].update(cold_start_s=3.0, cold_per_s=4.7)
    document["services"][1].pop("cold_per_s")
    declared = run_to_completion(decode_configuration(document)).services_by_name
    assert declared["desk"].cold_start == 3.0
    assert declared["desk"].cold_rate == 4.7
    assert math.isinf(declared["vault"].cold_rate)


@pytest.mark.parametrize(
    ("text", "slowdown_factor"),
    [("3,0,8", 1.0), ("3,0,8,140", 1.4), ("0,2,4,300", 3.0)],
)
def test_load_header_with_and_without_work_time(
    text: str, slowdown_factor: float
) -> None:
    """Guards against ignoring a load header that contains the optional work time."""
    load = decode_answer_head(200, {"Swiftpin-Upstream-Load": text}).load
    assert load is not None
    assert load.slowdown_factor == pytest.approx(slowdown_factor)


@pytest.mark.parametrize("text", ["", "3,0", "3,0,8,0", "-1,0,8", "3,0,8,9,1", "a,b,c"])
def test_malformed_load_is_ignored(text: str) -> None:
    """Guards against decisions based on a malformed load header."""
    assert decode_answer_head(200, {"Swiftpin-Upstream-Load": text}).load is None


SIGNED = {"Swiftpin-Upstream-Signature": "x"}


@pytest.mark.parametrize(
    ("headers", "limit"),
    [
        ({"Server-Limit": "1.8"}, 1.8),
        ({"Server-Limit": "0", **SIGNED}, 0.0),
        (SIGNED, math.inf),
        ({}, None),
        ({"Server-Limit": "-1", **SIGNED}, None),
        ({"Server-Limit": "nan", **SIGNED}, None),
        ({"Server-Limit": "two", **SIGNED}, None),
    ],
)
def test_only_a_signed_answer_without_a_rate_limit_shows_that_there_is_none(
    headers: dict[str, str], limit: float | None
) -> None:
    """Guards against taking a rejection or a malformed limit for the end of a limit."""
    assert decode_answer_head(200, headers).rate_limit == limit


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        (None, None),
        ("3", 3.0),
        ("0.25", 0.25),
        ("0", 0.0),
        ("259200", 259200.0),
        ("-1", None),
        ("inf", None),
        ("nan", None),
        ("soon", None),
        ("", None),
        ("Thu, 03 Dec 2026 23:10:00 GMT", None),
    ],
)
def test_only_a_number_of_seconds_is_a_backoff(
    text: str | None, seconds: float | None
) -> None:
    """Guards against malformed delays that fail a request or block a target."""
    headers = {} if text is None else {"Retry-After": text}
    assert decode_answer_head(503, headers).retry_after == seconds


@pytest.mark.parametrize(
    ("headers", "is_draining"),
    [({}, False), ({"Server-Leaving": "1"}, True), ({"Server-Leaving": "0"}, False)],
)
def test_announced_drain_is_decoded(headers: dict[str, str], is_draining: bool) -> None:
    """Guards against announcements in answers that nobody reads."""
    assert decode_answer_head(200, headers).is_draining is is_draining


def test_only_end_to_end_headers_are_forwarded() -> None:
    """Hop-by-hop headers are dropped, and the router sets its own headers."""
    received = [
        ("Host", "desk.example"),
        ("Connection", "X-Hop, close"),
        ("X-Hop", "1"),
        ("X-Kept", "2"),
        ("Swiftpin-Request-Id", "q1"),
        ("Swiftpin-Deadline-Milliseconds", "9000"),
        ("Swiftpin-Expected-Instance", "forged"),
        ("Content-Length", "3"),
    ]
    headers = encode_request_headers(received, "desk.example", "i-1", 0.25)
    assert dict(headers) == {
        "X-Kept": "2",
        "Swiftpin-Request-Id": "q1",
        "Host": "desk.example",
        "Swiftpin-Deadline-Milliseconds": "250",
        "Swiftpin-Expected-Instance": "i-1",
    }
    assert "Keep-Alive" not in encode_answer_headers([("Keep-Alive", "timeout=5")])


def test_key_out_of_range_is_an_error() -> None:
    """A request with a key out of range is not routed."""
    with pytest.raises(ValueError, match="out of range"):
        decode_request_head({"Swiftpin-Shard-Key": "65536"})


def test_answer_head_reports_whether_the_request_ran() -> None:
    """Only the target's own header or status 421 shows that it did not run."""
    assert decode_answer_head(503, {"Swiftpin-Not-Executed": "1"}).not_executed
    assert decode_answer_head(421, {}).not_executed
    assert not decode_answer_head(503, {}).not_executed
    assert is_answer_to("q1", {})
    assert not is_answer_to("q1", {"Swiftpin-Request-Id": "q0"})


def test_deletions_in_a_watch_are_recognized() -> None:
    """The event contains whether the object was deleted."""
    event = {"object": {"metadata": {"name": "a", "revision": 2}}, "deleted": True}
    changes = decode_changes({"events": [event], "at": 5}, 0)
    assert changes.revision == 5
    assert changes.objects[0].is_deleted


@pytest.mark.parametrize(
    "page", [[], {"items": 1, "at": 1}, {"items": []}, {"items": [], "at": True}]
)
def test_malformed_page_is_an_error(page: object) -> None:
    """A malformed page counts as a failure of the store."""
    with pytest.raises(StoreUnavailableError):
        decode_list(page, 0)
