"""Conversion of validated models to the data classes used inside."""

from __future__ import annotations

from typing import assert_never

from swiftpin.config.key_rule import (
    HeaderKeyRule,
    KeyRule,
    PathKeyRule,
    QueryKeyRule,
)
from swiftpin.config.measure_weights import MeasureWeights
from swiftpin.config.models.declaration_models import (
    PlannedStopModel,
    ProfileModel,
    ServiceModel,
)
from swiftpin.config.models.key_rule_model import (
    HeaderKeyRuleModel,
    KeyRuleModel,
    PathKeyRuleModel,
    QueryKeyRuleModel,
)
from swiftpin.config.models.request_class_model import RequestClassModel
from swiftpin.config.models.target_model import TargetModel
from swiftpin.config.outage_behaviour import OutageBehaviour
from swiftpin.config.planned_stop import PlannedStop
from swiftpin.config.profile import Profile
from swiftpin.config.request_class import RequestClass
from swiftpin.config.service import Service
from swiftpin.config.target_spec import TargetSpec


def service_from_model(model: ServiceModel) -> Service:
    """Return the service that the declaration describes."""
    return Service(
        name=model.metadata.name,
        profile=model.spec.profile,
        keyed=model.spec.keyed,
        slices=model.spec.slices,
        groups=model.spec.groups,
        checks_grants=model.spec.checks_grants,
        targets_by_id={item.id: _target(item) for item in model.spec.targets},
    )


def profile_from_model(model: ProfileModel) -> Profile:
    """Return the profile that the declaration describes."""
    spec = model.spec
    return Profile(
        name=model.metadata.name,
        key_rule=_key_rule(spec.key_rule),
        classes=tuple(_request_class(item) for item in spec.classes),
        default_timeout=spec.default_timeout,
        max_timeout=spec.max_timeout,
        queue_length=spec.queue_length,
        retry_ratio=spec.retry_ratio,
        retry_min_per_second=spec.retry_min_per_second,
        max_attempts=spec.max_attempts,
        weights=MeasureWeights(
            imbalance=spec.weights.imbalance,
            churn=spec.weights.churn,
            unavailable=spec.weights.unavailable,
        ),
        moves_per_minute=spec.moves_per_minute,
        idempotency_retention=spec.idempotency_retention,
        answer_record_limit=spec.answer_record_limit,
        body_limit=spec.body_limit,
        on_store_outage=OutageBehaviour(spec.on_store_outage),
    )


def planned_stop_from_model(model: PlannedStopModel) -> PlannedStop:
    """Return the planned stop that the declaration orders."""
    return PlannedStop(
        name=model.metadata.name,
        instance=model.spec.instance,
        service=model.spec.service,
        target=model.spec.target,
        limit=model.spec.limit,
    )


def _target(model: TargetModel) -> TargetSpec:
    """Return one target of a service."""
    return TargetSpec(
        id=model.id,
        address=model.address,
        zone=model.zone,
        slots=model.slots,
        connections=model.connections,
    )


def _request_class(model: RequestClassModel) -> RequestClass:
    """Return one class of a profile."""
    return RequestClass(
        name=model.name,
        methods=frozenset(model.methods),
        path=model.path,
        priority=model.priority,
        repeatable=model.repeatable,
        weight=model.weight,
    )


def _key_rule(model: KeyRuleModel) -> KeyRule:
    """Return the rule that finds the key."""
    match model:
        case HeaderKeyRuleModel():
            return HeaderKeyRule()
        case PathKeyRuleModel():
            return PathKeyRule(segment=model.segment)
        case QueryKeyRuleModel():
            return QueryKeyRule(parameter=model.parameter)
        case _:
            assert_never(model)
