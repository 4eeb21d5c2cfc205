"""The router's page of metrics is what its code says."""

from __future__ import annotations

import ast
import importlib.util
from pathlib import Path
from types import ModuleType

import pytest

from swiftpin import exceptions
from swiftpin.exceptions import RequestError
from swiftpin.gateway import request_body
from swiftpin.router import exceptions as router_exceptions
from swiftpin.router.metrics import FAILED_RESULTS
from swiftpin.router.step_failure import MEANING_BY_STEP_FAILURE, StepFailure

ROOT = Path(__file__).parents[2]
SCRIPT = ROOT / "script" / "gen_metrics_page.py"
SOURCES = [
    *sorted((ROOT / "swiftpin" / "router").glob("*.py")),
    ROOT / "swiftpin" / "gateway" / "http_listener.py",
    Path(request_body.__file__),
]


@pytest.fixture(name="generator")
def generator_fixture() -> ModuleType:
    """Return the script's module."""
    spec = importlib.util.spec_from_file_location("gen_metrics_page", SCRIPT)
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def made_errors() -> set[type[RequestError]]:
    """Return the errors that the request path makes to end a request."""
    found = set()
    for source in SOURCES:
        for node in ast.walk(ast.parse(source.read_text())):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Name):
                continue
            name = node.func.id
            made = getattr(exceptions, name, getattr(router_exceptions, name, None))
            if isinstance(made, type) and issubclass(made, RequestError):
                found.add(made)
    return found


def test_page_is_what_the_code_says(generator: ModuleType) -> None:
    """After a change of metrics run script/gen_metrics_page.py."""
    assert generator.PAGE.read_text() == generator.page()


def test_every_result_of_the_router_is_on_the_page() -> None:
    """An engineer who counts by outcome finds each."""
    assert {made.code for made in made_errors()} == set(FAILED_RESULTS)


def test_every_reason_has_its_meaning() -> None:
    """A reason without a line would leave a blank on the page."""
    assert set(MEANING_BY_STEP_FAILURE) == set(StepFailure)
