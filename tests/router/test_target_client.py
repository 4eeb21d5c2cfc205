"""Tests that every request to a target is checked and every answer is recorded."""

from __future__ import annotations

from pathlib import Path
from typing import Final

import swiftpin.router

ROUTER: Final = Path(swiftpin.router.__file__).parent
USERS_OF_HTTP_CLIENTS: Final = {
    "assigner_factory.py",  # passes it to the adapter, for grants
    "http_clients.py",
    "link_probes.py",  # opens connections, sends nothing
    "target_client.py",
}


def test_only_the_target_client_writes_requests_to_targets() -> None:
    """Guards against a way to targets that what they state does not close."""
    users = {
        path.name
        for path in ROUTER.glob("*.py")
        if "import HttpClient\n" in path.read_text()
        or "HttpClient," in path.read_text()
    }
    assert users == USERS_OF_HTTP_CLIENTS
    probes = (ROUTER / "link_probes.py").read_text()
    assert "async_exchange" not in probes
