"""One user's services and load."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from swiftpin.bench.cluster.cluster_spec import ClusterSpec
from swiftpin.bench.cluster.service_spec import ServiceSpec
from swiftpin.bench.load.load_class import LoadClass
from swiftpin.bench.load.request_kind import RequestKind

GATEWAYS: Final = 9
WORK_MS: Final = 3.0
SHARE_LOOKUP: Final = 0.6
SHARE_BOOKING: Final = 0.25
SHARE_DOWNLOAD: Final = 0.15
DOWNLOAD_PATH: Final = "bundle/20000"


@dataclass(frozen=True, kw_only=True, slots=True)
class FaultsSite:
    """A desk divided by key, a vault for downloads, and the instances before them."""

    name: str
    desk: str
    vault: str
    spec: ClusterSpec

    @property
    def load_classes(self) -> tuple[LoadClass, ...]:
        """Return lookups and bookings at the desk, and downloads from the vault."""
        return (
            LoadClass(
                name="lookup",
                kind=RequestKind.LOOKUP,
                service=self.desk,
                path="items",
                share=SHARE_LOOKUP,
            ),
            LoadClass(
                name="booking",
                kind=RequestKind.BOOKING,
                service=self.desk,
                path="orders",
                share=SHARE_BOOKING,
            ),
            LoadClass(
                name="download",
                kind=RequestKind.DOWNLOAD,
                service=self.vault,
                path=DOWNLOAD_PATH,
                share=SHARE_DOWNLOAD,
                keyed=self._vault_is_keyed,
            ),
        )

    @property
    def _vault_is_keyed(self) -> bool:
        """Return whether the vault is divided by key."""
        return any(item.keyed for item in self.spec.services if item.name == self.vault)


BRNO: Final = FaultsSite(
    name="brno",
    desk="desk",
    vault="vault",
    spec=ClusterSpec(
        services=(
            ServiceSpec(name="desk", targets=20, groups=5, work_ms=WORK_MS),
            ServiceSpec(
                name="vault", keyed=False, targets=10, groups=2, work_ms=WORK_MS
            ),
        ),
        gateways=GATEWAYS,
        zones=("brno-a", "brno-b", "brno-c", "brno-d"),
    ),
)
WEST_COAST: Final = FaultsSite(
    name="west-coast",
    desk="nominations",
    vault="archive",
    spec=ClusterSpec(
        services=(
            ServiceSpec(name="nominations", targets=25, groups=5, work_ms=WORK_MS),
            ServiceSpec(
                name="archive", keyed=False, targets=5, groups=1, work_ms=WORK_MS
            ),
        ),
        gateways=GATEWAYS,
        zones=("galway", "cork", "limerick"),
    ),
)
SITES: Final = (BRNO, WEST_COAST)


def site_of(seed: int) -> FaultsSite:
    """Return the site that a seed is run at: odd ones Brno, even ones west coast."""
    return SITES[(seed - 1) % len(SITES)]
