"""The key of a request."""

from __future__ import annotations

from typing import Final, assert_never
from urllib.parse import parse_qs, unquote

from multidict import CIMultiDictProxy

from swiftpin.config.key_rule import HeaderKeyRule, KeyRule, PathKeyRule, QueryKeyRule
from swiftpin.const import HEADER_KEY
from swiftpin.exceptions import BadHeaderError, MissingKeyError
from swiftpin.gateway.request_path import RequestPath

MAX_KEY_LENGTH: Final = 1024


def request_key(
    headers: CIMultiDictProxy[str], path: RequestPath, rule: KeyRule
) -> str:
    """Return the key from the header or, without one, by the rule.

    Raises `MissingKeyError`, or `BadHeaderError` when the key can't be used.
    """
    values = headers.getall(HEADER_KEY, None)
    if values is None:
        key = _by_rule(path, rule)
    elif len(values) == 1:
        key = values[0]
    else:
        raise BadHeaderError(f"{HEADER_KEY} is given more than once")
    if not key:
        raise MissingKeyError(f"name the key in {HEADER_KEY}")
    check_text(key, "the key", MAX_KEY_LENGTH)
    return key


def check_text(text: str, name: str, limit: int) -> None:
    """Raise `BadHeaderError` unless the text may be sent on in a header.

    A line break in a key taken from an encoded path would otherwise begin a header
    of the caller's choice in the request to the target.
    """
    if len(text) > limit:
        raise BadHeaderError(f"{name} is longer than {limit} characters")
    if not text.isprintable():
        raise BadHeaderError(f"{name} holds characters that cannot be printed")


def _by_rule(path: RequestPath, rule: KeyRule) -> str:
    """Return the key by the profile's rule, empty when it is not there."""
    match rule:
        case HeaderKeyRule():
            return ""
        case PathKeyRule(segment=segment):
            segments = path.path.partition("?")[0][1:].split("/")
            return unquote(segments[segment]) if segment < len(segments) else ""
        case QueryKeyRule(parameter=parameter):
            values = parse_qs(path.query).get(parameter, [])
            if len(values) > 1:
                raise BadHeaderError(f"the parameter {parameter} is given twice")
            return values[0] if values else ""
        case _:
            assert_never(rule)
