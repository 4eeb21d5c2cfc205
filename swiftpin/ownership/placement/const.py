"""Constants of placement; docs/design/placement.md gives the reason for each."""

from __future__ import annotations

from typing import Final

# Load in slots (mean number of busy slots) that an idle slice counts for, so that
# slices without load are spread by their number.
IDLE_SLICE_LOAD: Final = 1e-4

# Keys that a slice counts for when the view does not say how many are active in it.
DEFAULT_ACTIVE_KEYS: Final = 100

# Seconds for which a better placement is expected to stay better: hot keys change
# within minutes.
DEFAULT_HORIZON: Final = 300.0

# The same for a target that joins: it stays a day rather than minutes.
DEFAULT_JOIN_HORIZON: Final = 86_400.0

# Slot-seconds that the move of one active key costs: the new owner reads the key's
# state again, which is as much work as one short request.
DEFAULT_KEY_MOVE_COST: Final = 0.002

# Seconds during which a moving slice is served by nobody (revoke, then grant).
DEFAULT_MOVE_PAUSE: Final = 0.05

# Seconds in which a cold target comes to its full share, and the share that it
# starts with.
RAMP_SECONDS: Final = 60.0
RAMP_FLOOR: Final = 0.1

# How far above its fair share (ratio) a standby may come by a loss before its
# slices go to the least loaded target instead.
STANDBY_TOLERANCE: Final = 1.02

# Overload (ratio above the mean of the service) that rebalancing leaves alone. The goal
# is 15%; the rest is for load that changes between two decisions.
DEFAULT_DEADBAND: Final = 0.12

# Share of the deadband down to which an overloaded target is relieved.
SETTLE_RATIO: Final = 0.7

# The same above the mean of a group that is itself above the service's mean: loads
# are measured, and vary by a few per cent from one window to the next.
GROUP_DEADBAND: Final = 0.02
