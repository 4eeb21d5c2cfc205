"""Answer to one try."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.result import Executed


@dataclass(frozen=True, kw_only=True, slots=True)
class TryAnswer:
    """What came back for one try of a request.

    `result` is the number in `Swiftpin-Result`, None where the header is absent;
    `executed` is what the answer says about execution. `whole` tells whether the body
    came as long as stated, `body_digest` is the digest of what came. `sent` and `at`
    are monotonic seconds.
    """

    status: int
    result: int | None
    executed: Executed | None
    request_id: str | None
    body_digest: str
    whole: bool
    sent: float
    at: float
