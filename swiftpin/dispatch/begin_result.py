"""What the journal says to a request that asks to begin."""

from __future__ import annotations

from swiftpin.dispatch.begun import Begun
from swiftpin.dispatch.joined import Joined
from swiftpin.dispatch.replayed import Replayed

BeginResult = Begun | Joined | Replayed
