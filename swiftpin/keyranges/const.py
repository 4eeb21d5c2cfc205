"""Sizes and times of key-range ownership."""

from __future__ import annotations

from typing import Final

KEYS: Final = 65536
"""Number of keys; they are numbered from 0."""

KIND_LEASE: Final = "swiftpin-lease"
KIND_ASSIGNMENT: Final = "swiftpin-keys"
NAME_LEASE: Final = "assigner"

LEASE_TIME: Final = 1.6
"""Seconds for which a written lease lets its holder assign keys. Short, so that another
instance takes over before the targets' grants end; four renewals fit in."""

LEASE_RENEW_INTERVAL: Final = 0.4
"""Seconds between two renewals of the lease."""

LEASE_MARGIN: Final = 0.3
"""Seconds beyond `LEASE_TIME` that a candidate waits: clocks may run 2% apart and a
renewal's answer may be on its way."""

TERMS_PER_ERA: Final = 1_000_000
"""Terms of one era of the store; the next era's are all higher, so fences rise above
all that were handed out under records that the store has lost."""

LEASE_CALL_TIMEOUT: Final = 0.6
"""Seconds for the answer to a renewal. A lost answer then leaves time to read back
before the lease ends; the store takes 0.4 s when it is slowed a hundredfold."""

VOTE_TIME: Final = 2.0
"""Seconds for which a member leaves the lease alone after a vote: several
heartbeats."""

EXTENSION_LIMIT: Final = 10.0
"""Seconds beyond the lease's end for which votes can keep its holder in place. One
that is not among the members waits for this too, since nobody asks for its vote."""

MIN_RENEW_INTERVAL: Final = 1.0
"""Seconds between two renewals of a grant in small services."""

MAX_RENEWALS_PER_SECOND: Final = 250
"""Renewals that an assigner makes at most: each takes it about 0.7 ms. Where there are
more grants, they are renewed less often and last longer."""

HOLD_BEYOND_RENEWAL: Final = 3.4
"""Seconds of a grant beyond the pause between renewals: more than `LEASE_TIME`, the
candidates' wait and their polls together, and no longer, since the keys of a target
that falls silent stay unserved until its grant has ended."""

HOLD_TIME: Final = MIN_RENEW_INTERVAL + HOLD_BEYOND_RENEWAL
"""Seconds of a grant in small services."""

CLOCK_DRIFT: Final = 1.03
"""A target's clock may run 2% slow, and so end a grant later by that much."""

HOLD_MARGIN: Final = 0.15
"""Seconds added to a grant's end for the call's way to the target."""

CONTROL_TIMEOUT: Final = 0.6
"""Seconds for the answer to a grant; targets answer in milliseconds. For as long the
kernel may go on delivering it, which it does for a process that stands still too: one
that arrives later could follow a newer grant of the same keys to another target."""

RELEASE_TIMEOUT: Final = 3.0
"""Seconds for the answer to a release, which comes when the running work has ended."""

PLAN_INTERVAL: Final = 0.15
"""Seconds between two looks at the load; hot keys change within seconds."""

SHORTEST_HOLD: Final = 0.2
"""Seconds of the shortest grant that is worth a call."""
