"""Check that every part of a service is served."""

from __future__ import annotations

import asyncio
from typing import Final

from aiohttp import ClientError, ClientSession, ClientTimeout

from swiftpin.bench.cluster.service_spec import ServiceSpec
from swiftpin.bench.exceptions import NotReadyError
from swiftpin.const import HEADER_KEY, HEADER_RESULT
from swiftpin.helpers.hashing import slice_of
from swiftpin.result import ResultCode

CHECK_TIMEOUT: Final = ClientTimeout(total=2.0)
CHECK_INTERVAL: Final = 0.1
KEYS_PER_GROUP: Final = 8
MAX_CHECK_KEYS: Final = 10_000


def check_keys(service: ServiceSpec) -> list[str | None]:
    """Return keys that reach every group several times; None stands for no key."""
    if not service.keyed:
        return [None]
    keys_by_group: dict[int, list[str]] = {}
    for number in range(MAX_CHECK_KEYS):
        key = f"check-{number}"
        group = slice_of(service.name, key, service.slices) % service.groups
        keys = keys_by_group.setdefault(group, [])
        if len(keys) < KEYS_PER_GROUP:
            keys.append(key)
    return [key for keys in keys_by_group.values() for key in keys]


async def async_is_served(
    session: ClientSession, entry: str, service: str, key: str | None
) -> bool:
    """Return whether a target answers a lookup of the key."""
    headers = {} if key is None else {HEADER_KEY: key}
    url = f"http://{entry}/{service}/check"
    try:
        async with session.get(url, headers=headers, timeout=CHECK_TIMEOUT) as answer:
            return answer.headers.get(HEADER_RESULT) == str(int(ResultCode.ANSWERED))
    except (ClientError, TimeoutError, OSError):
        return False


async def async_wait_serving(
    session: ClientSession,
    entries: tuple[str, ...],
    service: ServiceSpec,
    timeout: float,
) -> None:
    """Wait until every entry gets answers for every group of the service."""
    open_checks = [(entry, key) for entry in entries for key in check_keys(service)]
    try:
        async with asyncio.timeout(timeout):
            while open_checks:
                served = await asyncio.gather(
                    *(
                        async_is_served(session, entry, service.name, key)
                        for entry, key in open_checks
                    )
                )
                open_checks = [
                    check
                    for check, is_served in zip(open_checks, served, strict=True)
                    if not is_served
                ]
                await asyncio.sleep(CHECK_INTERVAL)
    except TimeoutError as err:
        entry, key = open_checks[0]
        raise NotReadyError(
            f"{service.name}: {len(open_checks)} checks fail, as {key} at {entry}"
        ) from err
