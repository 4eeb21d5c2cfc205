"""The pages of incidents name tests that exist."""

from __future__ import annotations

from pathlib import Path
import re

import pytest

ROOT = Path(__file__).parents[2]
PAGES = sorted((ROOT / "docs" / "incidents").glob("*.md"))
TEST_NAME = re.compile(r"`(test_\w+)`")


@pytest.fixture(name="tests", scope="module")
def tests_fixture() -> set[str]:
    """Return the names of all tests."""
    sources = (ROOT / "tests").rglob("test_*.py")
    return {
        name
        for source in sources
        for name in re.findall(r"^(?:async )?def (test_\w+)", source.read_text(), re.M)
    }


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.stem)
def test_incident_names_tests_that_exist(page: Path, tests: set[str]) -> None:
    """Whoever changes the code finds what holds an incident's cause off."""
    assert set(TEST_NAME.findall(page.read_text())) <= tests
