"""Times and margins for updates of targets."""

from __future__ import annotations

from typing import Final

REREGISTRATION_TIME: Final = 2.3
"""Seconds after the store's return within which live targets have registered again.
The platform promises about 2 seconds."""

GOSSIP_LAG: Final = 1.0
"""Maximum age in seconds of a neighbour's update: the delay of its watch, two
heartbeats and a request. A target reported as leaving counts as leaving from that
much earlier."""

DRAIN_MARGIN: Final = 0.5
"""Seconds before the end of a target's drain time from which no request is sent to it,
to allow for clock differences, link delays and requests being sent."""
