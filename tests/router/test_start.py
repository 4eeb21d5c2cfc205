"""What an instance loads before it listens.

Symptom: after a loss of power of all instances callers got no connection for 0.7 s
after the machines were back. Sequence: each process imported its modules, and only then
listened. Cause: a tenth of the imports were for scrapes that come later or never.
"""

from __future__ import annotations

import subprocess
import sys


def loaded_after(statement: str) -> set[str]:
    """Return the modules that a fresh interpreter has loaded after a statement."""
    code = f"{statement}; import sys; print(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    return set(done.stdout.split())


def test_library_of_metrics_is_loaded_with_the_first_scrape() -> None:
    """It takes 0.05 s of the start, and an instance that nobody scrapes needs none."""
    loaded = loaded_after("import swiftpin.router.daemon")
    assert "swiftpin.router.metrics" in loaded
    assert "prometheus_client" not in loaded
    scraped = "from swiftpin.router.metrics import Metrics; Metrics().registry"
    assert "prometheus_client" in loaded_after(scraped)


def test_entry_point_loads_nothing_before_garbage_collection_is_off() -> None:
    """What the imports make is none; the collections would cost 0.06 s of the start."""
    loaded = loaded_after("import swiftpin.router.__main__")
    assert "swiftpin.router.daemon" not in loaded
    assert "aiohttp" not in loaded
