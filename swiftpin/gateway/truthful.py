"""What may be said of a request that was refused."""

from __future__ import annotations

from aiohttp.web import BaseRequest

from swiftpin.const import HEADER_IDEMPOTENCY_KEY
from swiftpin.core import callback
from swiftpin.dispatch.exceptions import JournalNotLoadedError
from swiftpin.exceptions import (
    AttemptNotRunError,
    NotHolderError,
    NotRunError,
    RequestError,
)
from swiftpin.gateway.error_answer import DEFAULT_RETRY_AFTER
from swiftpin.gateway.request_record import RequestRecord
from swiftpin.result import Executed


@callback
def truthful(
    err: RequestError, request: BaseRequest, record: RequestRecord
) -> RequestError:
    """Return the error as it may be told to the caller.

    A refused resend would be told "not run" although an earlier attempt, whose answer
    the caller did not get, did run; the caller would take the work for undone. Until
    the records of earlier attempts were looked at, only this attempt is known not to
    have run. The word to the entry instance that this one is not the holder
    stays as it is: that instance goes on with the request.
    """
    if isinstance(err, JournalNotLoadedError):
        return _attempt_not_run(err)
    if err.executed is not Executed.NO:
        return err
    if _is_repeatable(request, record):
        return _after_unsure_attempt(err) if record.may_have_run else err
    if record.looked_up or not isinstance(err, NotRunError):
        return err
    if record.forwarded and isinstance(err, NotHolderError):
        return err
    return _attempt_not_run(err)


def _attempt_not_run(err: RequestError) -> RequestError:
    """Return the error of an attempt that nobody could look up."""
    return AttemptNotRunError(
        f"{err.hint}; this attempt was not run, an earlier one may have been:"
        f" send again with the same {HEADER_IDEMPOTENCY_KEY}",
        retry_after=err.retry_after or DEFAULT_RETRY_AFTER,
    )


def _after_unsure_attempt(err: RequestError) -> RequestError:
    """Return the error of a retry that was not run after an attempt that may have."""
    return AttemptNotRunError(
        f"{err.hint}; the retry was not run, an earlier attempt may have been",
        retry_after=err.retry_after,
    )


def _is_repeatable(request: BaseRequest, record: RequestRecord) -> bool:
    """Return whether the request may run more than once."""
    if record.incoming is None:
        return HEADER_IDEMPOTENCY_KEY not in request.headers
    return record.incoming.request_class.repeatable
