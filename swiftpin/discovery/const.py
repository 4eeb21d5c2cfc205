"""Times by which updates of targets are judged."""

from __future__ import annotations

from typing import Final

REREGISTRATION_TIME: Final = 2.3
"""Seconds after the store's return within which live targets have registered again;
the platform promises about two."""

GOSSIP_LAG: Final = 1.0
"""Seconds by which a neighbour's update may be late: its own watch, two heartbeats and
a question. A target that left is taken to have said so that much earlier."""

DRAIN_MARGIN: Final = 0.5
"""Seconds before the end of a target's drain time at which nothing more is sent to it,
for clocks, links and what is being sent."""
