"""The entry's process: forwards at a fixed rate and prints its figures as JSON."""

from __future__ import annotations

import argparse
import asyncio
import time
from typing import Final

import orjson
import uvloop

from swiftpin.bench.hop.grpc_sender import GrpcSender
from swiftpin.bench.hop.hop_point import EntryFigures
from swiftpin.bench.hop.hop_sender import HopSender
from swiftpin.bench.hop.hop_way import HopWay
from swiftpin.bench.hop.http_sender import HttpSender
from swiftpin.core import monotonic_now

WARMUP: Final = 0.5
MILLISECONDS: Final = 1000.0


class HopLoad:
    """Open loop: the n-th request goes at its time, however late others are."""

    def __init__(self, sender: HopSender, body: bytes, answer_bytes: int) -> None:
        self._sender = sender
        self._body = body
        self._answer_bytes = answer_bytes
        self._times: list[float] = []
        self._failed = 0

    async def async_run(self, rate: float, seconds: float) -> EntryFigures:
        """Warm up, send for some seconds and return the figures."""
        await self._async_spell(rate, WARMUP)
        self._times.clear()
        self._failed = 0
        cpu = time.process_time()
        await self._async_spell(rate, seconds)
        cpu = time.process_time() - cpu
        times = sorted(self._times)
        return EntryFigures(
            sent=len(times) + self._failed,
            failed=self._failed,
            p50_ms=MILLISECONDS * times[len(times) // 2],
            p99_ms=MILLISECONDS * times[int(len(times) * 0.99)],
            entry_cpu_ms=MILLISECONDS * cpu / len(times),
        )

    async def _async_spell(self, rate: float, seconds: float) -> None:
        """Send for some seconds and wait for the answers."""
        start = monotonic_now()
        calls = []
        for number in range(int(rate * seconds)):
            due = start + number / rate
            await asyncio.sleep(max(due - monotonic_now(), 0.0))
            calls.append(asyncio.create_task(self._async_call(due)))
        await asyncio.gather(*calls)

    async def _async_call(self, due: float) -> None:
        """Forward one request and note how long it took since it was due."""
        received = await self._sender.async_send(self._body, self._answer_bytes)
        if received == self._answer_bytes:
            self._times.append(monotonic_now() - due)
        else:
            self._failed += 1


async def async_measure(options: argparse.Namespace) -> EntryFigures:
    """Return the figures of one way."""
    sender: HopSender
    match HopWay(options.way):
        case HopWay.HTTP:
            sender = HttpSender(options.address)
        case HopWay.GRPC:
            sender = GrpcSender(options.address)
    load = HopLoad(sender, bytes(options.request_bytes), options.answer_bytes)
    try:
        return await load.async_run(options.rate, options.seconds)
    finally:
        await sender.async_close()


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--way", required=True, choices=list(HopWay))
    parser.add_argument("--address", required=True)
    parser.add_argument("--rate", type=float, required=True)
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--request-bytes", type=int, required=True)
    parser.add_argument("--answer-bytes", type=int, required=True)
    figures = uvloop.run(async_measure(parser.parse_args()))
    print(orjson.dumps(figures).decode(), flush=True)


if __name__ == "__main__":
    main()
