"""What an instance tells a relay about a request, and what the relay answers."""

from __future__ import annotations

from collections.abc import Mapping, MutableMapping
from dataclasses import dataclass
from enum import StrEnum
import math
from typing import Final

from swiftpin.poison.fingerprint import format_fingerprint

HEADER_RELAY_TARGET: Final = "Swiftpin-Relay-Target"
HEADER_RELAY_ONCE: Final = "Swiftpin-Relay-Once"
HEADER_RELAY_PERMIT: Final = "Swiftpin-Relay-Permit-Seconds"
HEADER_RELAY_FINGERPRINT: Final = "Swiftpin-Relay-Fingerprint"
HEADER_RELAY_RESULT: Final = "Swiftpin-Relay-Result"
HEADER_RELAY_REASON: Final = "Swiftpin-Relay-Reason"

RELAY_HEADERS: Final = frozenset(
    header.lower()
    for header in (
        HEADER_RELAY_TARGET,
        HEADER_RELAY_ONCE,
        HEADER_RELAY_PERMIT,
        HEADER_RELAY_FINGERPRINT,
        HEADER_RELAY_RESULT,
        HEADER_RELAY_REASON,
    )
)
"""Headers that concern only the two instances, in lower case."""


class RelayResult(StrEnum):
    """What became of a request at a relay."""

    ANSWERED = "answered"
    """The answer is the target's."""

    NO_LINK = "no-link"
    """Not sent: the relay reaches the target as little as the sender."""

    NOT_ALLOWED = "not-allowed"
    """Not sent: the target must not get the request from this relay."""

    BUSY = "busy"
    """Not sent: the relay has no room or is stopping."""

    BROKEN = "broken"
    """Sent, but no complete answer arrived."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RelayTerms:
    """Conditions under which a relay may send a request."""

    target: str
    """Id of the target's life."""

    is_once: bool
    """Whether the request must not run twice."""

    permit_left: float | None = None
    """Seconds for which a permit for a target with a rate limit is still valid, None
    for a permit that took no rate limit into account."""

    fingerprint: int = 0
    """The same for all resends of the request, 0 if it is not known."""


def encode_relay_terms(terms: RelayTerms, headers: MutableMapping[str, str]) -> None:
    """Set the headers of a request to a relay."""
    headers[HEADER_RELAY_TARGET] = terms.target
    if terms.is_once:
        headers[HEADER_RELAY_ONCE] = "1"
    if terms.permit_left is not None:
        headers[HEADER_RELAY_PERMIT] = f"{terms.permit_left:.3f}"
    if terms.fingerprint:
        headers[HEADER_RELAY_FINGERPRINT] = format_fingerprint(terms.fingerprint)


def decode_relay_terms(headers: Mapping[str, str]) -> RelayTerms:
    """Return the terms of a relayed request; raise `ValueError` if malformed."""
    target = headers.get(HEADER_RELAY_TARGET, "")
    if not target:
        raise ValueError("the request names no target")
    permit_text = headers.get(HEADER_RELAY_PERMIT)
    permit_left = None if permit_text is None else float(permit_text)
    if permit_left is not None and not math.isfinite(permit_left):
        raise ValueError("the validity of the permit is not a time")
    return RelayTerms(
        target=target,
        is_once=HEADER_RELAY_ONCE in headers,
        permit_left=permit_left,
        fingerprint=int(headers.get(HEADER_RELAY_FINGERPRINT, "0"), 16),
    )


def decode_relay_result(headers: Mapping[str, str]) -> RelayResult | None:
    """Return what became of a request, None if the answer does not tell."""
    try:
        return RelayResult(headers.get(HEADER_RELAY_RESULT, ""))
    except ValueError:
        return None
