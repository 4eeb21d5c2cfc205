"""Numeric result codes of swiftpin's answers."""

from __future__ import annotations

from enum import IntEnum, StrEnum


class Executed(StrEnum):
    """Whether a target ran the request; `NO` is used only if this is guaranteed."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ResultCode(IntEnum):
    """Result of one caller's request, sent in `Swiftpin-Result`.

    1xx: answered by a target, 2xx: error of the caller, 3xx: not run and safe to
    retry, 4xx: outcome unknown, 5xx: internal error of swiftpin.
    """

    ANSWERED = 100
    REPLAYED = 101
    ANSWER_NOT_KEPT = 102
    UNKNOWN_SERVICE = 200
    MISSING_KEY = 201
    MISSING_IDEMPOTENCY_KEY = 202
    IDEMPOTENCY_KEY_REUSED = 203
    REQUEST_TOO_LARGE = 204
    BODY_CUT_SHORT = 205
    BAD_HEADER = 206
    QUARANTINED = 207
    MALFORMED_REQUEST = 208
    ONCE_NOT_SUPPORTED = 209
    NO_OWNER = 300
    QUEUE_FULL = 301
    DEADLINE_TOO_SHORT = 302
    TARGET_REFUSED = 303
    TARGET_UNREACHABLE = 304
    HOLDER_UNREACHABLE = 305
    STORE_UNAVAILABLE = 306
    SHUTTING_DOWN = 307
    OVERLOADED = 308
    RETRY_BUDGET_SPENT = 309
    NOT_HOLDER = 310
    NOT_READY = 311
    SUSPECTED = 312
    ANSWER_LOST = 400
    DEADLINE_EXCEEDED = 401
    OUTCOME_UNKNOWN = 402
    ANSWER_CUT_SHORT = 403
    CALLER_LEFT = 404
    ATTEMPT_NOT_RUN = 405
    INTERNAL = 500


def executed_by_result(code: int) -> Executed:
    """Return whether a request was executed, as far as its result code shows."""
    match code // 100:
        case 1:
            return Executed.YES
        case 2 | 3:
            return Executed.NO
        case _:
            return Executed.UNKNOWN
