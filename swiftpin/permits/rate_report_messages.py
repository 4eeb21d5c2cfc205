"""Conversion between rate reports and the messages on peer links.

Messages contain ages instead of times, since the clocks of instances differ.
"""

from __future__ import annotations

from swiftpin.core import callback
from swiftpin.fleet.item import Item
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.permits.rate_report import RateReport


@callback
def encode_rate_report(target: str, report: RateReport, now: float) -> pb.RateReport:
    """Return a report as a message."""
    return pb.RateReport(
        target=target,
        limit=report.limit,
        sent_age=now - report.sent_at,
        received_age=now - report.received_at,
    )


@callback
def decode_rate_report(message: Item, now: float) -> RateReport:
    """Return the report in a message."""
    return RateReport(
        limit=message.limit,
        sent_at=now - message.sent_age,
        received_at=now - message.received_age,
    )
