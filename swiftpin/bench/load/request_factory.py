"""Makes the seeded sequence of requests of one worker."""

from __future__ import annotations

from random import Random

from swiftpin.bench.load.key_sampler import KeySampler
from swiftpin.bench.load.load_class import LoadClass
from swiftpin.bench.load.load_request import LoadRequest
from swiftpin.bench.load.load_spec import LoadSpec
from swiftpin.bench.load.request_kind import RequestKind


class RequestFactory:
    """Requests whose classes, keys and order follow from the seed and the index."""

    def __init__(self, load: LoadSpec, index: int) -> None:
        self._random = Random(f"requests {load.seed} {index}")
        self._classes = load.classes
        self._shares = [item.share for item in load.classes]
        self._prefix = f"{load.key_prefix}-{load.seed}-{index}"
        self._made = 0
        self.sampler = KeySampler(
            keys=load.keys,
            exponent=load.zipf_exponent,
            prefix=load.key_prefix,
            index=index,
            workers=load.workers,
        )

    def make(self, scheduled: float) -> LoadRequest:
        """Return the next request of the sequence."""
        load_class = self._random.choices(self._classes, self._shares)[0]
        key = self.sampler.choose(self._random)
        self._made += 1
        return LoadRequest(
            load_class=load_class,
            key=key if load_class.keyed else None,
            idempotency_key=self._idempotency_key(load_class),
            body=self._body(load_class),
            scheduled=scheduled,
        )

    def _idempotency_key(self, load_class: LoadClass) -> str | None:
        """Return a key that no other request of the run has, for bookings."""
        if load_class.kind is not RequestKind.BOOKING:
            return None
        return f"{self._prefix}-{self._made}"

    def _body(self, load_class: LoadClass) -> bytes:
        """Return the body of a booking, different for each."""
        if load_class.kind is not RequestKind.BOOKING:
            return b""
        return f"{self._prefix}-{self._made} ".encode().ljust(
            load_class.body_bytes, b"."
        )
