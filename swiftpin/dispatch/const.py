"""Constants of the dispatch package."""

from __future__ import annotations

from typing import Final

DEFAULT_QUEUE_LENGTH: Final = 200
DEFAULT_BROWNOUT_WAIT: Final = 0.25
DEFAULT_RAMP_TIME: Final = 5.0
DEFAULT_ISOLATION_INTERVAL: Final = 1.0
DEFAULT_ISOLATION_PATIENCE: Final = 1.0

MIN_RETRY_AFTER: Final = 0.1
MAX_RETRY_AFTER: Final = 30.0
