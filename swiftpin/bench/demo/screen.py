"""What the demonstration shows."""

from __future__ import annotations

import sys
from typing import TextIO

from swiftpin.bench.cluster.cluster_layout import ClusterLayout
from swiftpin.bench.demo.demo_answer import DemoAnswer
from swiftpin.bench.demo.demo_request import DemoRequest


class Screen:
    """Writes lines for people to a stream."""

    def __init__(self, stream: TextIO = sys.stdout) -> None:
        self._stream = stream

    def show(self, text: str) -> None:
        """Show one line."""
        self._stream.write(f"{text}\n")
        self._stream.flush()

    def show_answer(
        self, gateway: str, request: DemoRequest, answer: DemoAnswer
    ) -> None:
        """Show a request and who answered it."""
        result = "-" if answer.result is None else answer.result.name
        self.show(
            f"  {gateway}: {request.text} -> {answer.status} {result}, "
            f"{len(answer.body)} bytes from {answer.target or 'the gateway'}"
        )

    def show_failure(
        self, gateway: str, request: DemoRequest, err: BaseException
    ) -> None:
        """Show a request that got no answer."""
        self.show(f"  {gateway}: {request.text} -> no answer ({type(err).__name__})")

    def show_addresses(self, layout: ClusterLayout) -> None:
        """Show where everything listens and what to try."""
        self.show("")
        for place in layout.gateways_by_name.values():
            self.show(
                f"  {place.name} (zone {place.zone}): callers http://{place.listen}, "
                f"metrics http://{place.admin}/metrics"
            )
        self.show(f"  store: {layout.store_url}, instances: {layout.instances_url}")
        entry = layout.entries[0]
        self.show("")
        self.show(f"  curl -i -H 'Swiftpin-Key: flight-1' http://{entry}/desk/items")
        self.show(
            f"  .venv/bin/swiftpin --store-url {layout.store_url} "
            f"--instances-url {layout.instances_url} status"
        )
