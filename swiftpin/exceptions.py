"""The exception tree of swiftpin."""

from __future__ import annotations

from swiftpin.result import Executed, ResultCode


class SwiftpinError(Exception):
    """Base of every error that swiftpin raises."""


class ConfigurationError(SwiftpinError):
    """A setting or declaration is wrong; the message names where."""


class StoreError(SwiftpinError):
    """Base of errors of the platform's object store."""


class StoreUnavailableError(StoreError):
    """The store did not carry out the call; a write certainly had no effect."""


class StoreOutcomeUnknownError(StoreError):
    """A write may or may not have taken effect, because its answer was lost."""


class StoreConflictError(StoreError):
    """A conditional write lost a race.

    `version` is the present version of the object, 0 if it is absent.
    """

    def __init__(self, name: str, version: int) -> None:
        super().__init__(f"{name} is at version {version}")
        self.name = name
        self.version = version


class TargetError(SwiftpinError):
    """Base of errors of a target's control interface."""


class TargetUnreachableError(TargetError):
    """The target gave no answer; a control message may have taken effect."""


class TargetFencedError(TargetError):
    """The target knows a higher term, or the same term of another holder."""

    def __init__(self, target: str, term: int, holder: str) -> None:
        super().__init__(f"target {target} follows {holder} at term {term}")
        self.target = target
        self.term = term
        self.holder = holder


class TargetRestartedError(TargetError):
    """The target runs under another boot id than the one addressed."""


class PeerError(SwiftpinError):
    """A message to another instance failed."""


class ExchangeError(SwiftpinError):
    """Base of errors of one HTTP exchange with a target or another instance."""


class RequestNotSentError(ExchangeError):
    """No byte of the request was written, so it was certainly not run."""


class AnswerBrokenError(ExchangeError):
    """The request was written and no whole answer came; it may have run."""


class RequestError(SwiftpinError):
    """Base of errors that end one caller's request with a numbered result.

    `hint` is one sentence for the caller; `retry_after` is in seconds, None when
    sending the request again would not help.
    """

    code: ResultCode = ResultCode.INTERNAL
    status: int = 500
    executed: Executed = Executed.UNKNOWN

    def __init__(self, hint: str, *, retry_after: float | None = None) -> None:
        super().__init__(hint)
        self.hint = hint
        self.retry_after = retry_after


class CallerMistakeError(RequestError):
    """The request itself is wrong and was not run."""

    status = 400
    executed = Executed.NO


class NotRunError(RequestError):
    """The request was certainly not run and may be sent again."""

    status = 503
    executed = Executed.NO


class OutcomeUnknownError(RequestError):
    """The request may or may not have run."""

    code = ResultCode.OUTCOME_UNKNOWN
    status = 504
    executed = Executed.UNKNOWN


class UnknownServiceError(CallerMistakeError):
    """No service of that name is declared."""

    code = ResultCode.UNKNOWN_SERVICE
    status = 404


class MissingKeyError(CallerMistakeError):
    """A service divided by key got a request without one."""

    code = ResultCode.MISSING_KEY


class MissingIdempotencyKeyError(CallerMistakeError):
    """A request that is not repeatable came without an idempotency key."""

    code = ResultCode.MISSING_IDEMPOTENCY_KEY


class IdempotencyKeyReusedError(CallerMistakeError):
    """An idempotency key came again with another request."""

    code = ResultCode.IDEMPOTENCY_KEY_REUSED
    status = 422


class RequestTooLargeError(CallerMistakeError):
    """A header or body is above its limit."""

    code = ResultCode.REQUEST_TOO_LARGE
    status = 413


class BodyCutShortError(CallerMistakeError):
    """The caller's body ended before its stated length."""

    code = ResultCode.BODY_CUT_SHORT


class BadHeaderError(CallerMistakeError):
    """A header that swiftpin reads has a wrong value."""

    code = ResultCode.BAD_HEADER


class MalformedRequestError(CallerMistakeError):
    """The request is not HTTP as swiftpin accepts it."""

    code = ResultCode.MALFORMED_REQUEST


class OnceNotSupportedError(CallerMistakeError):
    """Work that must not run twice was sent to a service that is not divided by key.

    Nobody keeps records for such a service, so a resend could not be told apart.
    """

    code = ResultCode.ONCE_NOT_SUPPORTED
    status = 501


class QuarantinedError(CallerMistakeError):
    """The request is refused because it crashed targets before."""

    code = ResultCode.QUARANTINED
    status = 422


class NoOwnerError(NotRunError):
    """No target serves the key at the moment."""

    code = ResultCode.NO_OWNER


class QueueFullError(NotRunError):
    """The target's queue has no room for the request's class."""

    code = ResultCode.QUEUE_FULL


class DeadlineTooShortError(NotRunError):
    """The request cannot end before its deadline."""

    code = ResultCode.DEADLINE_TOO_SHORT
    status = 504


class TargetRefusedError(NotRunError):
    """The target said that it did not run the request."""

    code = ResultCode.TARGET_REFUSED


class TargetConnectError(NotRunError):
    """No connection to the target could be made."""

    code = ResultCode.TARGET_UNREACHABLE


class HolderUnreachableError(NotRunError):
    """No connection to the lease holder could be made."""

    code = ResultCode.HOLDER_UNREACHABLE


class NotHolderError(NotRunError):
    """A forwarded request met an instance that does not hold the group."""

    code = ResultCode.NOT_HOLDER


class JournalUnavailableError(NotRunError):
    """The store is away and the request must not run unrecorded."""

    code = ResultCode.STORE_UNAVAILABLE


class ShuttingDownError(NotRunError):
    """The instance takes no new requests."""

    code = ResultCode.SHUTTING_DOWN


class NotReadyError(NotRunError):
    """The instance has just started and does not know the declarations yet."""

    code = ResultCode.NOT_READY


class OverloadedError(NotRunError):
    """The instance has no room for another request."""

    code = ResultCode.OVERLOADED


class RetryBudgetSpentError(NotRunError):
    """The request was not run and the service's retries are used up."""

    code = ResultCode.RETRY_BUDGET_SPENT


class AnswerLostError(OutcomeUnknownError):
    """The connection broke after the request was sent."""

    code = ResultCode.ANSWER_LOST
    status = 502


class AttemptNotRunError(OutcomeUnknownError):
    """This attempt was not run, but an earlier one may have been.

    Either a request that is not repeatable was refused before the records of earlier
    attempts were looked at, or an earlier attempt within this request lost its
    answer.
    """

    code = ResultCode.ATTEMPT_NOT_RUN
    status = 503


class AnswerNotKeptError(RequestError):
    """The request ran before, and its answer was too large to be recorded."""

    code = ResultCode.ANSWER_NOT_KEPT
    status = 409
    executed = Executed.YES


class DeadlineExceededError(OutcomeUnknownError):
    """The deadline passed while the request may be running."""

    code = ResultCode.DEADLINE_EXCEEDED


class AnswerCutShortError(OutcomeUnknownError):
    """The answer began and ended before its stated length."""

    code = ResultCode.ANSWER_CUT_SHORT
    status = 502


class CallerLeftError(OutcomeUnknownError):
    """The caller closed its connection before the answer was whole."""

    code = ResultCode.CALLER_LEFT
    status = 499
