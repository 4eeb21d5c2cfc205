"""One caller's request while it is served."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.dispatch.http_send_state import HttpSendState
from swiftpin.gateway.answer_writer import AnswerWriter
from swiftpin.gateway.incoming_request import IncomingRequest
from swiftpin.gateway.request_body import RequestBody
from swiftpin.gateway.request_record import RequestRecord


@dataclass(kw_only=True, slots=True)
class Exchange:
    """What the steps of serving a request share; nobody replaces its parts."""

    incoming: IncomingRequest
    body: RequestBody
    state: HttpSendState
    writer: AnswerWriter
    record: RequestRecord
