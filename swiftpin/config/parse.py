"""Validation of one stored document."""

from __future__ import annotations

from typing import Any

from pydantic import ValidationError

from swiftpin.config.config_name import ConfigName
from swiftpin.config.explain_errors import field_problems
from swiftpin.config.models.declaration_models import MODELS_BY_KIND, Declaration
from swiftpin.exceptions import ConfigurationError


def parse_document(config_name: ConfigName, document: dict[str, Any]) -> Declaration:
    """Return the validated document of the declaration of that name.

    Raises `ConfigurationError` when it breaks a rule or names another declaration.
    """
    model_type = MODELS_BY_KIND[config_name.kind]
    try:
        model = model_type.model_validate(document)
    except ValidationError as err:
        problems = "; ".join(
            str(item) for item in field_problems(model_type, document, err)
        )
        raise ConfigurationError(f"{config_name.label}: {problems}") from err
    if model.metadata.name != config_name.name:
        raise ConfigurationError(
            f"{config_name.label}: metadata.name is {model.metadata.name}"
        )
    return model
