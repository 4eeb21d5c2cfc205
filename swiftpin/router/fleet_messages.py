"""Conversion between data classes and the messages on peer links."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from swiftpin.fleet.item import Item
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.keyranges.key_map import KeyMap, OwnerChange
from swiftpin.permits.permit_issuers import PermitIssuers
from swiftpin.permits.rate_reports import RateReports
from swiftpin.router.key_map_speeds import decode_speeds


@dataclass(kw_only=True, slots=True)
class LoadReport:
    """Load of an instance since its last report."""

    counts_by_service: dict[str, dict[int, int]] = field(default_factory=dict)
    seconds_by_target: dict[tuple[str, str], list[float]] = field(default_factory=dict)
    failures_by_target: dict[tuple[str, str], int] = field(default_factory=dict)
    abandoned_seconds_by_target: dict[tuple[str, str], list[float]] = field(
        default_factory=dict
    )

    backoffs_by_target: dict[tuple[str, str], float] = field(default_factory=dict)
    """Seconds of the back-off periods that targets asked for."""

    def add_key(self, service: str, key: int) -> None:
        """Count a request for a key."""
        counts = self.counts_by_service.setdefault(service, {})
        counts[key] = counts.get(key, 0) + 1

    def add_duration(self, service: str, target: str, seconds: float | None) -> None:
        """Record a request's duration at a target; `seconds` is None if it failed."""
        if seconds is None:
            failures = self.failures_by_target
            failures[service, target] = failures.get((service, target), 0) + 1
        else:
            self.seconds_by_target.setdefault((service, target), []).append(seconds)

    def add_abandoned(self, service: str, target: str, seconds: float) -> None:
        """Record a request that was abandoned after a number of seconds at a target."""
        self.abandoned_seconds_by_target.setdefault((service, target), []).append(
            seconds
        )

    def add_backoff(self, service: str, target: str, seconds: float) -> None:
        """Record that a target asked not to be called for a number of seconds."""
        self.backoffs_by_target[service, target] = seconds


def encode_load(report: LoadReport, rate_reports: RateReports, now: float) -> Item:
    """Return a load report with the rate limits of its targets as a message."""
    message = pb.LoadReport()
    for service, counts in report.counts_by_service.items():
        message.loads.add(service=service, keys=counts.keys(), counts=counts.values())
    pairs = (
        report.seconds_by_target.keys()
        | report.failures_by_target.keys()
        | report.abandoned_seconds_by_target.keys()
        | report.backoffs_by_target.keys()
    )
    for service, target in pairs:
        message.times.add(
            service=service,
            target=target,
            seconds=report.seconds_by_target.get((service, target), ()),
            failures=report.failures_by_target.get((service, target), 0),
            cut_seconds=report.abandoned_seconds_by_target.get((service, target), ()),
            rate_report=rate_reports.encode(target, now),
            backoff=report.backoffs_by_target.get((service, target), 0.0),
        )
    return pb.Item(load=message)


def encode_key_map(key_map: KeyMap) -> Item:
    """Return a key map as a message that names each target once."""
    indexes: Mapping[str, int] = {
        target: number
        for number, target in enumerate(
            dict.fromkeys([*key_map.owners, *key_map.factors_by_target])
        )
    }
    factors = key_map.factors_by_target
    return pb.Item(
        key_map=pb.KeyMap(
            service=key_map.service,
            term=key_map.term,
            number=key_map.number,
            firsts=key_map.firsts,
            owners=[indexes[owner] for owner in key_map.owners],
            targets=list(indexes),
            speeds=[factors.get(target, 0.0) for target in indexes] if factors else (),
        )
    )


def decode_key_map(message: Item) -> KeyMap:
    """Return the key map in a message."""
    targets = list(message.targets)
    return KeyMap(
        service=message.service,
        term=message.term,
        number=message.number,
        firsts=tuple(message.firsts),
        owners=tuple(targets[number] for number in message.owners),
        factors_by_target=decode_speeds(message.service, targets, message.speeds),
    )


def encode_key_map_change(key_map: KeyMap, changes: list[OwnerChange]) -> Item:
    """Return the changes between a key map and the previous one as a message."""
    return pb.Item(
        key_map_change=pb.KeyMapChange(
            service=key_map.service,
            term=key_map.term,
            number=key_map.number,
            firsts=[change.first for change in changes],
            lasts=[change.last for change in changes],
            owners=[change.owner for change in changes],
        )
    )


def decode_owner_changes(message: Item) -> list[OwnerChange]:
    """Return the owner changes in a message."""
    rows = zip(message.firsts, message.lasts, message.owners, strict=True)
    return [
        OwnerChange(first=first, last=last, owner=owner) for first, last, owner in rows
    ]


def encode_issuers(issuers: PermitIssuers) -> Item:
    """Return a list of issuers as a message."""
    return pb.Item(
        issuers=pb.Issuers(
            term=issuers.term,
            number=issuers.number,
            incarnations=issuers.peers_by_incarnation.keys(),
            peers=issuers.peers_by_incarnation.values(),
            members=issuers.members,
        )
    )


def decode_issuers(message: Item) -> PermitIssuers:
    """Return the list of issuers in a message."""
    peers = zip(message.incarnations, message.peers, strict=True)
    return PermitIssuers(
        term=message.term,
        number=message.number,
        peers_by_incarnation=dict(peers),
        members=max(message.members, 1),
    )
