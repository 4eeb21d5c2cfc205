"""Made-up points of the slopes experiment."""

from __future__ import annotations

from swiftpin.bench.experiments.slope_point import SlopePoint


def slope_point(gateways: int, targets: int) -> SlopePoint:
    """Return a point whose costs are linear in both numbers."""
    return SlopePoint(
        gateways=gateways,
        targets=targets,
        groups_per_gateway=targets / 5 / gateways,
        cpu_percent=1.0 + 0.5 * gateways + 0.1 * targets,
        cpu_percent_max=9.0,
        resident_mb=60.0,
        resident_mb_max=61.0,
        sent_bytes=1000.0 * gateways,
        store_calls=2.0 * gateways,
        store_writes=0.0,
    )
