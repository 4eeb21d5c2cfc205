"""Reading of the daemon's settings."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Final

from pydantic import ValidationError

from swiftpin.exceptions import ConfigurationError
from swiftpin.gateway.arguments import build_parser
from swiftpin.gateway.settings import Settings
from swiftpin.gateway.settings_model import SettingsModel

ENVIRONMENT_PREFIX: Final = "SWIFTPIN_"


def load_settings(arguments: Sequence[str], environment: Mapping[str, str]) -> Settings:
    """Return the settings; a flag goes before its environment variable.

    Raises `ConfigurationError` with one line that names the flag and its value.
    """
    given = vars(build_parser().parse_args(arguments))
    values_by_name: dict[str, str] = {}
    sources_by_name: dict[str, str] = {}
    for name, flag_value in given.items():
        variable = ENVIRONMENT_PREFIX + name.upper()
        value = flag_value if flag_value is not None else environment.get(variable)
        sources_by_name[name] = _flag(name) if flag_value is not None else variable
        if value is not None:
            values_by_name[name] = value
    try:
        return SettingsModel.model_validate(values_by_name).to_settings()
    except ValidationError as err:
        raise ConfigurationError(
            _explain(err, values_by_name, sources_by_name)
        ) from err


def _flag(name: str) -> str:
    """Return the flag of a setting."""
    return "--" + name.replace("_", "-")


def _explain(
    err: ValidationError,
    values_by_name: Mapping[str, str],
    sources_by_name: Mapping[str, str],
) -> str:
    """Return one line about the first thing that is wrong."""
    first = err.errors(include_url=False)[0]
    message = first["msg"].removeprefix("Value error, ")
    if not first["loc"]:
        return message
    name = str(first["loc"][0])
    if first["type"] == "missing":
        return f"{_flag(name)} (or {ENVIRONMENT_PREFIX}{name.upper()}) is needed"
    return f"{sources_by_name[name]} {values_by_name[name]!r}: {message}"
