"""Mixes of load that experiments share."""

from __future__ import annotations

from swiftpin.bench.load.load_class import LoadClass
from swiftpin.bench.load.request_kind import RequestKind


def lookup_class(service: str) -> LoadClass:
    """Return lookups of keys of the service."""
    return LoadClass(
        name="lookup",
        kind=RequestKind.LOOKUP,
        service=service,
        path="items",
        share=1.0,
    )


def desk_classes(service: str) -> tuple[LoadClass, ...]:
    """Return the mix of a desk: mostly lookups, some bookings and downloads."""
    booking = LoadClass(
        name="booking",
        kind=RequestKind.BOOKING,
        service=service,
        path="orders",
        share=0.2,
    )
    download = LoadClass(
        name="download",
        kind=RequestKind.DOWNLOAD,
        service=service,
        path="bundle/20000",
        share=0.1,
    )
    return (lookup_class(service), booking, download)
