"""What the overload experiment loads, and with what."""

from __future__ import annotations

from typing import Final

from swiftpin.bench.cluster.cluster_spec import ClusterSpec
from swiftpin.bench.cluster.service_spec import ServiceSpec
from swiftpin.bench.load.load_class import LoadClass
from swiftpin.bench.load.request_kind import RequestKind

SERVICE: Final = "desk"
TARGETS: Final = 12
GROUPS: Final = 4
SLOTS: Final = 2
GATEWAYS: Final = 6
WORK_MS: Final = 100.0
"""Work of each request in milliseconds: so long that ten times the targets' capacity
is a rate which gateways and callers in Python can carry on one machine."""
CAPACITY: Final = TARGETS * SLOTS * 1000 / WORK_MS
"""Requests a second that keep every slot of every target busy."""
SHARE_LOOKUP: Final = 0.65
SHARE_BOOKING: Final = 0.15
SHARE_DOWNLOAD: Final = 0.2
SWIFTPIN_SPEC: Final = ClusterSpec(
    services=(
        ServiceSpec(
            name=SERVICE, targets=TARGETS, groups=GROUPS, slots=SLOTS, work_ms=WORK_MS
        ),
    ),
    gateways=GATEWAYS,
    log_level="warning",
    log_sample=0.0,
    traced=False,
)
PROXIES_SPEC: Final = ClusterSpec(
    # Proxies send none of the headers that grants are checked by.
    services=(
        ServiceSpec(
            name=SERVICE,
            targets=TARGETS,
            slots=SLOTS,
            work_ms=WORK_MS,
            checks_grants=False,
            refuses_orders=False,
        ),
    ),
    gateways=0,
    traced=False,
)
LOAD_CLASSES: Final = (
    LoadClass(
        name="lookup",
        kind=RequestKind.LOOKUP,
        service=SERVICE,
        path="items",
        share=SHARE_LOOKUP,
    ),
    LoadClass(
        name="booking",
        kind=RequestKind.BOOKING,
        service=SERVICE,
        path="orders",
        share=SHARE_BOOKING,
    ),
    LoadClass(
        name="download",
        kind=RequestKind.DOWNLOAD,
        service=SERVICE,
        path="bundle/2000",
        share=SHARE_DOWNLOAD,
    ),
)
