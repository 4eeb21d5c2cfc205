"""Trace of the answers that callers got."""

from __future__ import annotations

from pathlib import Path

import orjson

from swiftpin.bench.load.load_request import LoadRequest
from swiftpin.bench.load.try_answer import TryAnswer


class CallerTrace:
    """JSON lines of kind `answer`, one for each try that was answered."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("ab")

    def record(self, request: LoadRequest, answer: TryAnswer) -> None:
        """Write one line."""
        line = {
            "kind": "answer",
            "request_id": answer.request_id,
            "service": request.load_class.service,
            "key": request.key,
            "idempotency_key": request.idempotency_key,
            "class": request.load_class.kind.value,
            "status": answer.status,
            "result": answer.result,
            "executed": answer.executed,
            "body_digest": answer.body_digest,
            "whole": answer.whole,
            "sent": answer.sent,
            "at": answer.at,
        }
        self._file.write(orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE))

    def close(self) -> None:
        """Write out what is buffered and close the file."""
        self._file.close()
