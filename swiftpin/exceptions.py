"""Exceptions of swiftpin."""

from __future__ import annotations

from swiftpin.result import Executed, ResultCode


class SwiftpinError(Exception):
    """Base class of all swiftpin errors."""


class ConfigurationError(SwiftpinError):
    """A setting or declaration is invalid; the message names its location."""


class StoreError(SwiftpinError):
    """Base class for errors of the platform's object store."""


class StoreUnavailableError(StoreError):
    """The store did not execute the call; a write is guaranteed to have no effect."""


class StoreOutcomeUnknownError(StoreError):
    """The answer to a write was lost, so the write may have taken effect."""


class StoreConflictError(StoreError):
    """A conditional write found another version of the object.

    `version` is the current version of the object, 0 if it does not exist.
    """

    def __init__(self, name: str, version: int) -> None:
        super().__init__(f"{name} is at version {version}")
        self.name = name
        self.version = version


class TargetError(SwiftpinError):
    """Base class for errors of a target's control interface."""


class TargetUnreachableError(TargetError):
    """The target did not answer; a control message may have taken effect."""


class TargetNotReachedError(TargetUnreachableError):
    """The call was not sent, so it has no effect."""


class UnexpectedAnswerError(TargetUnreachableError):
    """The address answered with an unexpected status."""


class TargetReplacedError(TargetError):
    """Another target answers at the address; the addressed one is gone."""


class GrantRefusedError(TargetError):
    """The target has seen a higher fence on one of the keys."""


class TargetFencedError(TargetError):
    """The target has seen a higher term, or the same term with another holder."""

    def __init__(self, target: str, term: int, holder: str) -> None:
        super().__init__(f"target {target} follows {holder} at term {term}")
        self.target = target
        self.term = term
        self.holder = holder


class TargetRestartedError(TargetError):
    """The target's boot id differs from the addressed one."""


class PeerError(SwiftpinError):
    """A message to another instance failed."""


class ExchangeError(SwiftpinError):
    """Base class for errors of an HTTP exchange with a target or another instance."""


class RequestNotSentError(ExchangeError):
    """No byte of the request was written, so it cannot have been run."""


class ConnectionFailedError(RequestNotSentError):
    """No connection could be opened."""


class SendNotAllowedError(RequestNotSentError):
    """The request must not be sent to the target any more."""


class TargetBackoffError(SendNotAllowedError):
    """The target asked this instance not to call it for a while."""


class AnswerBrokenError(ExchangeError):
    """The request was written but no complete answer arrived; it may have run."""


class AnswerTooLongError(AnswerBrokenError):
    """The answer is longer than its reader accepts."""


class RequestError(SwiftpinError):
    """Base class for errors that end a caller's request with a result code.

    `hint` is one sentence for the caller; `retry_after` is in seconds, None if a retry
    would not help.
    """

    code: ResultCode = ResultCode.INTERNAL
    status: int = 500
    executed: Executed = Executed.UNKNOWN

    def __init__(self, hint: str, *, retry_after: float | None = None) -> None:
        super().__init__(hint)
        self.hint = hint
        self.retry_after = retry_after


class CallerMistakeError(RequestError):
    """The request is invalid and was not run."""

    status = 400
    executed = Executed.NO


class NotRunError(RequestError):
    """The request is guaranteed not to have run and may be retried."""

    status = 503
    executed = Executed.NO


class OutcomeUnknownError(RequestError):
    """The request may or may not have run."""

    code = ResultCode.OUTCOME_UNKNOWN
    status = 504
    executed = Executed.UNKNOWN


class UnknownServiceError(CallerMistakeError):
    """The service is not declared."""

    code = ResultCode.UNKNOWN_SERVICE
    status = 404


class MissingKeyError(CallerMistakeError):
    """A request for a keyed service has no key."""

    code = ResultCode.MISSING_KEY


class MissingIdempotencyKeyError(CallerMistakeError):
    """A request that is not repeatable has no idempotency key."""

    code = ResultCode.MISSING_IDEMPOTENCY_KEY


class IdempotencyKeyReusedError(CallerMistakeError):
    """An idempotency key was reused for a different request."""

    code = ResultCode.IDEMPOTENCY_KEY_REUSED
    status = 422


class RequestTooLargeError(CallerMistakeError):
    """A header or body exceeds its size limit."""

    code = ResultCode.REQUEST_TOO_LARGE
    status = 413


class BodyCutShortError(CallerMistakeError):
    """The caller's body ended before its declared length."""

    code = ResultCode.BODY_CUT_SHORT


class BadHeaderError(CallerMistakeError):
    """A header that swiftpin reads has an invalid value."""

    code = ResultCode.BAD_HEADER


class MalformedRequestError(CallerMistakeError):
    """The request is not valid HTTP, or uses a form that swiftpin rejects."""

    code = ResultCode.MALFORMED_REQUEST


class OnceNotSupportedError(CallerMistakeError):
    """A request that must run at most once was sent to a service that is not keyed.

    No records are kept for such a service, so a resend could not be detected.
    """

    code = ResultCode.ONCE_NOT_SUPPORTED
    status = 501


class QuarantinedError(CallerMistakeError):
    """The request is refused because it crashed targets earlier."""

    code = ResultCode.QUARANTINED
    status = 422


class NoOwnerError(NotRunError):
    """No target currently serves the key."""

    code = ResultCode.NO_OWNER


class QueueFullError(NotRunError):
    """The target's queue is full for the request's class."""

    code = ResultCode.QUEUE_FULL


class DeadlineTooShortError(NotRunError):
    """The request cannot complete before its deadline."""

    code = ResultCode.DEADLINE_TOO_SHORT
    status = 504


class TargetRefusedError(NotRunError):
    """The target reported that it did not run the request."""

    code = ResultCode.TARGET_REFUSED


class TargetConnectError(NotRunError):
    """The connection to the target failed."""

    code = ResultCode.TARGET_UNREACHABLE


class HolderUnreachableError(NotRunError):
    """The connection to the lease holder failed."""

    code = ResultCode.HOLDER_UNREACHABLE


class NotHolderError(NotRunError):
    """A forwarded request reached an instance that does not hold the group."""

    code = ResultCode.NOT_HOLDER


class JournalUnavailableError(NotRunError):
    """The store is unavailable and the request must not run without a record."""

    code = ResultCode.STORE_UNAVAILABLE


class ShuttingDownError(NotRunError):
    """The instance is shutting down and accepts no new requests."""

    code = ResultCode.SHUTTING_DOWN


class NotReadyError(NotRunError):
    """The instance has just started and has not loaded the declarations yet."""

    code = ResultCode.NOT_READY


class SuspectedRequestError(NotRunError):
    """Targets may have ended under the request, so no other one may get it for now."""

    code = ResultCode.SUSPECTED


class OverloadedError(NotRunError):
    """The instance has reached its limit of concurrent requests."""

    code = ResultCode.OVERLOADED


class RetryBudgetSpentError(NotRunError):
    """The request was not run and the service's retry budget is spent."""

    code = ResultCode.RETRY_BUDGET_SPENT


class AnswerLostError(OutcomeUnknownError):
    """The connection failed after the request was sent."""

    code = ResultCode.ANSWER_LOST
    status = 502


class AttemptNotRunError(OutcomeUnknownError):
    """This attempt was not run, but an earlier one may have been.

    Either a request that is not repeatable was refused before the records of earlier
    attempts were checked, or the answer to an earlier attempt of this request was lost.
    """

    code = ResultCode.ATTEMPT_NOT_RUN
    status = 503


class AnswerNotKeptError(RequestError):
    """The request ran earlier, and its answer was too large to be recorded."""

    code = ResultCode.ANSWER_NOT_KEPT
    status = 409
    executed = Executed.YES


class DeadlineExceededError(OutcomeUnknownError):
    """The deadline passed while the request may have been running."""

    code = ResultCode.DEADLINE_EXCEEDED


class AnswerCutShortError(OutcomeUnknownError):
    """The answer ended before its declared length."""

    code = ResultCode.ANSWER_CUT_SHORT
    status = 502


class CallerLeftError(OutcomeUnknownError):
    """The caller closed its connection before the answer was complete."""

    code = ResultCode.CALLER_LEFT
    status = 499
