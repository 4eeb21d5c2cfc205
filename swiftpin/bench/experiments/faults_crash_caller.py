"""A caller whose requests crash their targets."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Final, Self

from aiohttp import ClientSession

from swiftpin.bench.experiments.faults_episode import CrashRequest
from swiftpin.bench.load.caller import Caller
from swiftpin.bench.load.load_class import LoadClass
from swiftpin.bench.load.load_mode import ClosedLoop
from swiftpin.bench.load.load_request import LoadRequest
from swiftpin.bench.load.load_spec import LoadSpec
from swiftpin.bench.load.recorder import Recorder
from swiftpin.bench.load.request_kind import RequestKind
from swiftpin.core import callback, monotonic_now
from swiftpin.trace.writer import TraceWriter

HEADER_CRASH: Final = "X-Crash"
PATIENCE: Final = 4.0
"""Seconds for which one such request is sent again and again."""
CLASS_CRASH: Final = "crash"
FROM_THE_START: Final = 0.0


class _CrashingCaller(Caller):
    """A caller that adds the header by which stand-in targets crash."""

    @callback
    def _headers(self, request: LoadRequest) -> dict[str, str]:
        """Return the headers of every try of the request."""
        return {**super()._headers(request), HEADER_CRASH: "1"}


class FaultsCrashCaller:
    """Sends crash requests and records the answers in a trace; a context manager."""

    def __init__(self, entries: tuple[str, ...], trace_path: Path, seed: int) -> None:
        self.trace_path = trace_path
        self._entries = entries
        self._seed = seed
        self._random = Random(f"crashes {seed}")
        self._trace = TraceWriter(trace_path)
        self._session: ClientSession | None = None

    async def __aenter__(self) -> Self:
        self._session = ClientSession()
        return self

    async def __aexit__(self, *_error: object) -> None:
        if self._session is not None:
            await self._session.close()
        self._trace.close()

    async def async_send(self, crash: CrashRequest) -> dict[str, int]:
        """Send the request until it is answered or patience ends.

        Returns how often each result came, by result code or error's name.
        """
        if self._session is None:
            raise RuntimeError("the caller is used outside its block")
        request = self._request(crash)
        load = self._load(request.load_class)
        recorder = Recorder(load, FROM_THE_START)
        caller = _CrashingCaller(
            self._session, load, recorder, self._random, self._trace
        )
        with suppress(TimeoutError):
            async with asyncio.timeout(PATIENCE):
                await caller.async_call(request)
        result = recorder.result(index=0, started=request.scheduled, cpu=0.0)
        return result.tallies_by_class[CLASS_CRASH].tries_by_result

    def _load(self, load_class: LoadClass) -> LoadSpec:
        """Return the load of which one request consists."""
        return LoadSpec(
            entries=self._entries,
            classes=(load_class,),
            mode=ClosedLoop(callers=1),
            duration=PATIENCE,
            seed=self._seed,
        )

    def _request(self, crash: CrashRequest) -> LoadRequest:
        """Return the request, which no other one of the run equals."""
        kind = RequestKind.BOOKING if crash.is_booking else RequestKind.LOOKUP
        name = f"crash-{self._seed}-{crash.number}"
        return LoadRequest(
            load_class=LoadClass(
                name=CLASS_CRASH,
                kind=kind,
                service=crash.service,
                path="crash",
                share=1.0,
            ),
            key=name,
            idempotency_key=name if crash.is_booking else None,
            body=name.encode() if crash.is_booking else b"",
            scheduled=monotonic_now(),
        )
