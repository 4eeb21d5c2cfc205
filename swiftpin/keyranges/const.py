"""Constants of key-range ownership."""

from __future__ import annotations

from typing import Final

KEY_COUNT: Final = 65536
"""Number of keys; keys are numbered from 0."""

KIND_LEASE: Final = "swiftpin-lease"
KIND_ASSIGNMENT: Final = "swiftpin-keys"
NAME_LEASE: Final = "assigner"

LEASE_TIME: Final = 1.6
"""Seconds for which a lease is valid after it was written. Short enough for another
instance to take over before the targets' grants expire, and long enough for four
renewals."""

LEASE_RENEW_INTERVAL: Final = 0.4
"""Seconds between two renewals of the lease."""

LEASE_MARGIN: Final = 0.3
"""Seconds that a candidate waits beyond `LEASE_TIME`: clocks may drift apart by 2% and
the answer to a renewal may still be in transit."""

TERMS_PER_ERA: Final = 1_000_000
"""Terms per store era. All terms of the next era are higher, so its fences exceed all
fences that were issued under records that the store has lost."""

LEASE_CALL_TIMEOUT: Final = 0.6
"""Timeout of a renewal, in seconds. It leaves time to read the record back before the
lease expires if the answer is lost; a store slowed down by a factor of 100 takes
0.4 s."""

VOTE_DURATION: Final = 2.0
"""Seconds after a vote during which a member doesn't acquire the lease. Long enough for
several heartbeats."""

EXTENSION_LIMIT: Final = 10.0
"""Maximum seconds for which votes extend an expired lease. A candidate that is not a
member waits for this time too, because nobody asks it for a vote."""

MIN_RENEW_INTERVAL: Final = 1.0
"""Seconds between two renewals of a grant in small services."""

MAX_RENEWALS_PER_SECOND: Final = 250
"""Maximum rate at which an assigner renews grants; a renewal takes it about 0.7 ms. If
there are more grants, they are renewed less often and last longer."""

HOLD_BEYOND_RENEWAL: Final = 3.4
"""Seconds by which a grant outlasts the renewal interval. More than the sum of
`LEASE_TIME`, the candidates' wait and their polls, so that a new assigner renews grants
in time. It must not be much more: the keys of a target that stops answering are not
served until its grant has expired."""

MIN_REGULAR_HOLD: Final = MIN_RENEW_INTERVAL + HOLD_BEYOND_RENEWAL
"""Duration of a grant in small services, in seconds."""

CLOCK_DRIFT_FACTOR: Final = 1.03
"""Factor by which a grant may last longer on a target's clock, which may run 2%
slow."""

HOLD_MARGIN: Final = 0.15
"""Seconds added to the end of a grant for the transit of the call to the target."""

CONTROL_TIMEOUT: Final = 0.6
"""Timeout of a grant call, in seconds; targets answer within milliseconds. It also
limits how long the kernel tries to deliver the call, which it does even while this
process is suspended: a call that arrives later could follow a newer grant of the same
keys to another target."""

RELEASE_TIMEOUT: Final = 3.0
"""Timeout of a release call, in seconds. A target answers once the running requests for
the keys have finished."""

PLAN_INTERVAL: Final = 0.15
"""Seconds between two planning runs; hot keys change within seconds."""

MIN_HOLD: Final = 0.2
"""Minimum duration of a grant, in seconds; a shorter one is not worth a call."""
