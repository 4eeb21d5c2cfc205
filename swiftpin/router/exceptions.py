"""Errors of the router's request path."""

from __future__ import annotations

from swiftpin.exceptions import CallerMistakeError, NotRunError
from swiftpin.result import ResultCode


class NoRouteError(CallerMistakeError):
    """No route of the configuration matches the request."""

    code = ResultCode.UNKNOWN_SERVICE
    status = 404


class PoisonRequestError(NotRunError):
    """The request is quarantined because it crashed several targets."""

    code = ResultCode.QUARANTINED
