"""Model of the `spec` of a profile."""

from __future__ import annotations

from typing import Literal, Self

from pydantic import Field, model_validator

from swiftpin.config.models.contradiction import contradiction
from swiftpin.config.models.key_rule_model import HeaderKeyRuleModel, KeyRuleModel
from swiftpin.config.models.measure_weights_model import MeasureWeightsModel
from swiftpin.config.models.request_class_model import RequestClassModel
from swiftpin.config.models.strict_model import StrictModel


class ProfileSpecModel(StrictModel):
    """How the traffic of the services that name the profile is treated."""

    key_rule: KeyRuleModel = Field(
        default=HeaderKeyRuleModel(source="header"),
        description="Where the key stands when the header Swiftpin-Key is absent. No "
        "unit. Default: source header. Effect: a request to a keyed service in which "
        "no key is found is refused.",
    )
    classes: list[RequestClassModel] = Field(
        default=[],
        max_length=100,
        description="Classes of requests in order; the first that matches counts. No "
        "unit. Default: empty. Effect: priority and repetition of each request. "
        "Those that match none: GET, HEAD and OPTIONS are repeatable at priority 1, "
        "others are not repeatable at priority 0.",
    )
    default_timeout: float = Field(
        default=10.0,
        gt=0,
        le=3600,
        description="Unit: seconds. Default: 10. Effect: deadline of a request that "
        "carries no Swiftpin-Timeout.",
    )
    max_timeout: float = Field(
        default=300.0,
        gt=0,
        le=3600,
        description="Unit: seconds. Default: 300. Effect: a longer Swiftpin-Timeout "
        "is shortened to it.",
    )
    queue_length: int = Field(
        default=200,
        ge=0,
        le=100000,
        description="Unit: requests. Default: 200. Effect: how many requests may wait "
        "for one target; further ones are refused as not run.",
    )
    retry_ratio: float = Field(
        default=0.1,
        ge=0,
        le=1,
        description="Unit: retries per first try. Default: 0.1. Effect: bounds the "
        "requests that swiftpin sends again, as a share of a service's load.",
    )
    retry_min_per_second: float = Field(
        default=1.0,
        ge=0,
        le=10000,
        description="Unit: retries per second. Default: 1. Effect: retries that are "
        "allowed also when the load is low.",
    )
    max_attempts: int = Field(
        default=3,
        ge=1,
        le=10,
        description="Unit: attempts. Default: 3. Effect: how often one request is "
        "sent at most, the first time included.",
    )
    weights: MeasureWeightsModel = Field(
        default=MeasureWeightsModel(),
        description="Weights of the three measures. No unit. Default: all 1. Effect: "
        "what placement prefers where the measures conflict.",
    )
    moves_per_minute: int = Field(
        default=60,
        ge=0,
        le=100000,
        description="Unit: slices per minute. Default: 60. Effect: bounds the moves "
        "made to even out load; moves off lost or leaving targets do not count.",
    )
    idempotency_retention: float = Field(
        default=3600.0,
        ge=1,
        le=604800,
        description="Unit: seconds. Default: 3600. Effect: how long an Idempotency-Key "
        "and the outcome of its request are remembered.",
    )
    answer_record_limit: int = Field(
        default=4096,
        ge=0,
        le=65536,
        description="Unit: bytes. Default: 4096. Effect: a larger answer to a request "
        "that is not repeatable is not kept; a resend learns only that it ran.",
    )
    body_limit: int = Field(
        default=64 * 1024 * 1024,
        ge=0,
        description="Unit: bytes. Default: 67108864 (64 MiB). Effect: a request with a "
        "larger body is refused as not run.",
    )
    on_store_outage: Literal["refuse", "ticket"] = Field(
        default="ticket",
        description="refuse or ticket. No unit. Default: ticket. Effect: what happens "
        "to requests that are not repeatable while the store is away: refused as "
        "not run, or run under a ticket that ends with the lease holder's term.",
    )

    @model_validator(mode="after")
    def _check_agreement(self) -> Self:
        """Refuse classes that share a name and times that contradict each other."""
        names = [request_class.name for request_class in self.classes]
        for position, name in enumerate(names):
            first = names.index(name)
            if first != position:
                raise contradiction(
                    ("classes", position, "name"),
                    f"{name} is that of classes.{first} already",
                )
        if self.default_timeout > self.max_timeout:
            raise contradiction(("default_timeout",), "is longer than max_timeout")
        return self
