"""Judgement of what `status` found."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from swiftpin.cli.findings import Findings
from swiftpin.cli.in_force import missing_generations
from swiftpin.cli.instance_report import InstanceReport
from swiftpin.cli.instance_row import InstanceRow
from swiftpin.cli.service_row import ServiceRow
from swiftpin.cli.status_report import StatusReport
from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.inventory import Inventory
from swiftpin.config.models.declaration_models import ServiceModel
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.group_record import GroupRecord


def build_status(findings: Findings) -> StatusReport:
    """Return the report; every problem in it makes the system degraded."""
    inventory = findings.inventory
    reports = findings.reports or []
    accepted_by_label = _accepted(inventory)
    problems = [
        *findings.errors,
        *_instance_problems(findings, accepted_by_label or {}),
    ]
    services: list[ServiceRow] = []
    if inventory is not None:
        problems += inventory.faults_by_id.values()
        problems += _group_problems(findings, inventory)
        holders_by_id = _holders(reports)
        services = [
            _service_row(model, inventory, holders_by_id)
            for model in inventory.services()
        ]
    return StatusReport(
        instances=[_instance_row(item, accepted_by_label) for item in reports],
        services=services,
        problems=problems,
        store_reachable=inventory is not None,
    )


def _accepted(inventory: Inventory | None) -> dict[str, int] | None:
    """Return the accepted generation of each `kind/name`."""
    if inventory is None:
        return None
    return {
        config_name.label: stored.change.generation
        for config_name, stored in sorted(inventory.stored_by_id.items())
    }


def _holders(reports: list[InstanceReport]) -> dict[GroupId, dict[str, int]]:
    """Return who says to hold each group, instance ids with their terms."""
    holders_by_id: dict[GroupId, dict[str, int]] = {}
    for report in reports:
        if report.status is None:
            continue
        for held in report.status.groups_held:
            terms_by_holder = holders_by_id.setdefault(held.id, {})
            terms_by_holder[report.status.instance] = held.term
    return holders_by_id


def _instance_problems(
    findings: Findings, accepted_by_label: Mapping[str, int]
) -> Iterator[str]:
    """Yield what is not well with instances; a leaving one is passed over.

    The list lags, so an instance that itself says that it leaves counts as leaving,
    and a silent one with a planned stop as stopped.
    """
    inventory = findings.inventory
    stopping = set() if inventory is None else inventory.stopping_instances()
    if findings.reports is None:
        return
    live = [item for item in findings.reports if not item.info.leaving]
    if not live:
        yield "no live instance is listed"
    for report in live:
        if report.status is not None and report.status.leaving:
            continue
        if report.status is None and report.info.name in stopping:
            continue
        yield from missing_generations(report, accepted_by_label)
        if report.status is not None and not report.status.ready:
            yield f"instance {report.info.name}: is not ready"


def _group_problems(findings: Findings, inventory: Inventory) -> Iterator[str]:
    """Yield what is not well with the groups of all keyed services."""
    holders_by_id = _holders(findings.reports or [])
    for model in inventory.services():
        if not model.spec.keyed:
            continue
        for number in range(model.spec.groups):
            group_id = GroupId(service=model.metadata.name, group=number)
            record = findings.records_by_id.get(group_id)
            holders = holders_by_id.get(group_id, {})
            known = findings.reports is not None
            problem = _group_problem(record, holders, known=known)
            if problem:
                yield f"service {group_id.service} group {number}: {problem}"


def _group_problem(
    record: GroupRecord | None, terms_by_holder: Mapping[str, int], *, known: bool
) -> str:
    """Return what is not well with one group, empty when nothing is.

    `known` tells whether instances could be asked at all.
    """
    if record is None:
        return "has no holder yet"
    if not known:
        return ""
    if len(terms_by_holder) > 1:
        # Also seen for a moment when a takeover falls between two answers.
        return f"is held by {', '.join(sorted(terms_by_holder))} at once"
    if not any(term >= record.term for term in terms_by_holder.values()):
        return f"holder {record.holder} does not say that it holds it"
    if record.successor is None:
        return "has no successor"
    return ""


def _instance_row(
    report: InstanceReport, accepted_by_label: Mapping[str, int] | None
) -> InstanceRow:
    """Return the row of an instance."""
    status = report.status
    in_force = None
    if status is not None and accepted_by_label is not None:
        missing = missing_generations(report, accepted_by_label)
        in_force = len(accepted_by_label) - len(missing)
    return InstanceRow(
        name=report.info.name,
        zone=report.info.zone,
        state="leaving" if report.info.leaving else "live",
        answer=_answer(report),
        in_force=in_force,
        accepted=None if accepted_by_label is None else len(accepted_by_label),
        groups_held=0 if status is None else len(status.groups_held),
    )


def _answer(report: InstanceReport) -> str:
    """Return what an instance answered, in a word or two."""
    if report.status is None:
        return "silent"
    if report.status.leaving:
        return "leaving"
    return "ready" if report.status.ready else "not ready"


def _service_row(
    model: ServiceModel,
    inventory: Inventory,
    holders_by_id: Mapping[GroupId, Mapping[str, int]],
) -> ServiceRow:
    """Return the row of a service."""
    name = model.metadata.name
    stored = next(
        item
        for item in inventory.in_force(ConfigKind.SERVICE)
        if item.change.id.name == name
    )
    groups = model.spec.groups if model.spec.keyed else 0
    held = [
        number
        for number in range(groups)
        if GroupId(service=name, group=number) in holders_by_id
    ]
    return ServiceRow(
        name=name,
        profile=model.spec.profile,
        generation=stored.change.generation,
        keyed=model.spec.keyed,
        groups=groups,
        groups_held=len(held),
        targets=len(model.spec.targets),
        targets_stopping=len(inventory.stopping_targets(name)),
    )
