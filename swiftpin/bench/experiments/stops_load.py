"""Load of the experiment on planned stops."""

from __future__ import annotations

from typing import Final

from swiftpin.bench.experiments.load_mixes import desk_classes
from swiftpin.bench.load.load_class import LoadClass
from swiftpin.bench.load.load_mode import OpenLoop
from swiftpin.bench.load.load_spec import LoadSpec
from swiftpin.bench.load.request_kind import RequestKind

RATE: Final = 300.0
WARMUP: Final = 2.0
KEYS: Final = 500
WORKERS: Final = 2
ATTEMPT_TIMEOUT: Final = 60.0
REQUEST_TIMEOUT_MS: Final = 60_000
DRAIN: Final = 30.0
SHARE_VAULT: Final = 0.1
SHARE_VAULT_LONG: Final = 0.006
SHARE_DESK_LONG: Final = 0.002
VAULT_LONG_PATH: Final = "bundle/3000000?rate=500000"
"""Six seconds of download, seven or eight at a time."""
DESK_LONG_PATH: Final = "bundle/1000000?rate=500000"
"""Two seconds of download of a key's bundle. Few, as a target has but two slots: behind
two of them everything else on the target waits, stop or not."""


def stops_load(
    entry: str, desk: str, vault: str, duration: float, seed: int
) -> LoadSpec:
    """Return the steady mixed load through the balancer at `entry`."""
    return LoadSpec(
        entries=(entry,),
        classes=(
            *desk_classes(desk),
            _download("vault", vault, "bundle/100000", SHARE_VAULT, keyed=False),
            _download(
                "vault long", vault, VAULT_LONG_PATH, SHARE_VAULT_LONG, keyed=False
            ),
            _download("desk long", desk, DESK_LONG_PATH, SHARE_DESK_LONG, keyed=True),
        ),
        mode=OpenLoop(rate=RATE),
        duration=duration,
        warmup=WARMUP,
        workers=WORKERS,
        keys=KEYS,
        zipf_exponent=0.5,
        seed=seed,
        attempt_timeout=ATTEMPT_TIMEOUT,
        request_timeout_ms=REQUEST_TIMEOUT_MS,
        drain=DRAIN,
        traced=True,
    )


def _download(
    name: str, service: str, path: str, share: float, *, keyed: bool
) -> LoadClass:
    """Return a class of downloads."""
    return LoadClass(
        name=name,
        kind=RequestKind.DOWNLOAD,
        service=service,
        path=path,
        share=share,
        keyed=keyed,
    )
