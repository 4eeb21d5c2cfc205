"""Tests of the modules that an instance loads before it listens.

Failure: after a power failure of all instances, callers got no connection for 0.7 s
after the machines were back. Each process listens only after its imports, and a tenth
of the import time was for metric scrapes, which come later or never.
"""

from __future__ import annotations

import subprocess
import sys


def loaded_after(statement: str) -> set[str]:
    """Return the modules that a fresh interpreter has loaded after a statement."""
    code = f"{statement}; import sys; print(*sys.modules)"
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    return set(result.stdout.split())


def test_library_of_metrics_is_loaded_with_the_first_scrape() -> None:
    """The import takes 0.05 s; an instance that is never scraped doesn't need it."""
    loaded = loaded_after("import swiftpin.router.daemon")
    assert "swiftpin.router.metrics" in loaded
    assert "prometheus_client" not in loaded
    scraped = "from swiftpin.router.metrics import Metrics; Metrics().registry"
    assert "prometheus_client" in loaded_after(scraped)


def test_entry_point_loads_nothing_before_garbage_collection_is_off() -> None:
    """Garbage collections during the imports find nothing and would take 0.06 s."""
    loaded = loaded_after("import swiftpin.router.__main__")
    assert "swiftpin.router.daemon" not in loaded
    assert "aiohttp" not in loaded
