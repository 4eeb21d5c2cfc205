"""Cost of digests: `python -m swiftpin.bench.news.digests`."""

from __future__ import annotations

import time
from typing import Final

from swiftpin.membership.cached_object import CachedObject
from swiftpin.membership.object_cache import ObjectCache
from swiftpin.membership.proto import peer_pb2 as pb
from swiftpin.membership.stamp import Stamp
from swiftpin.membership.wire import encode_stamp

SIZES: Final = (100, 1_000, 10_000)

_INSTANCE_ID: Final = "desk-entry-17/0123456789abcdef"
_UPDATES: Final = 10_000


def _name(number: int) -> str:
    """Return the name of one object."""
    return f"groups/service-{number // 4}/{number % 4}"


def _cache(objects: int) -> ObjectCache:
    """Return a cache of as many objects."""
    cache = ObjectCache()
    for number in range(objects):
        cache.adopt(CachedObject(name=_name(number), stamp=Stamp(2, 1), body=b""))
    return cache


def _update_time(objects: int) -> float:
    """Return the mean time in seconds to count one new version."""
    table = _cache(objects).digests
    started = time.perf_counter()
    for number in range(_UPDATES):
        name = _name(number % objects)
        table.replace(name, Stamp(2, 1), Stamp(2, 2))
        table.replace(name, Stamp(2, 2), Stamp(2, 1))
    return (time.perf_counter() - started) / (2 * _UPDATES)


def _compare_size(objects: int, *, differs: bool) -> int:
    """Return the bytes of messages of one comparison, bodies left out."""
    first, second = _cache(objects), _cache(objects)
    if differs:
        second.adopt(CachedObject(name=_name(0), stamp=Stamp(2, 2), body=b""))
    request = pb.CompareDigestRequest(
        sender=_INSTANCE_ID, to=_INSTANCE_ID, root=first.digests.root
    )
    reply = pb.CompareDigestReply(receiver=_INSTANCE_ID, store_age_ms=900, loaded=True)
    if not differs:
        return int(request.ByteSize() + reply.ByteSize())
    reply.buckets.extend(second.digests.digests)
    buckets = first.digests.differing(second.digests.digests)
    repair = pb.RepairRequest(sender=_INSTANCE_ID, to=_INSTANCE_ID, buckets=buckets)
    for bucket in buckets:
        for name, stamp in first.stamps_in(bucket).items():
            repair.stamps.append(encode_stamp(name, stamp))
    return int(request.ByteSize() + reply.ByteSize() + repair.ByteSize())


def _stamps_size(objects: int) -> int:
    """Return the bytes of a message with the stamp of every object."""
    request = pb.RepairRequest(sender=_INSTANCE_ID, to=_INSTANCE_ID)
    for number in range(objects):
        request.stamps.append(encode_stamp(_name(number), Stamp(2, 1)))
    return int(request.ByteSize())


def main() -> None:
    """Print one line for each number of objects."""
    for objects in SIZES:
        print(
            f"objects={objects} update_us={1e6 * _update_time(objects):.2f} "
            f"equal_bytes={_compare_size(objects, differs=False)} "
            f"one_differs_bytes={_compare_size(objects, differs=True)} "
            f"all_stamps_bytes={_stamps_size(objects)}"
        )


if __name__ == "__main__":
    main()
