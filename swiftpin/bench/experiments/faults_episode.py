"""Episodes of faults: what goes wrong, for how long, and how it ends."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class KillProcess:
    """A gateway or target is killed and started again `restart_after` seconds later."""

    name: str
    restart_after: float


@dataclass(frozen=True, kw_only=True, slots=True)
class FreezeProcess:
    """A gateway or target stands still for `length` seconds."""

    name: str
    length: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreOutage:
    """The store answers 503 to every call for `length` seconds."""

    length: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreHang:
    """The store answers nothing for `length` seconds, then carries out what waits."""

    length: float


@dataclass(frozen=True, kw_only=True, slots=True)
class LoseStoreAnswers:
    """For `length` seconds the share of writes takes effect without an answer."""

    length: float
    share: float


@dataclass(frozen=True, kw_only=True, slots=True)
class DropRequests:
    """`count` requests lose their connection to the target before they run."""

    target: str
    count: int


@dataclass(frozen=True, kw_only=True, slots=True)
class DropAnswers:
    """`count` requests run at the target and lose their connection then."""

    target: str
    count: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CutAnswers:
    """`count` answers of the target break off in the middle."""

    target: str
    count: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashRequest:
    """A caller sends a request that crashes its target, and sends it again.

    `number` tells apart the crash requests of a run.
    """

    service: str
    is_booking: bool
    number: int


FaultEpisode = (
    KillProcess
    | FreezeProcess
    | StoreOutage
    | StoreHang
    | LoseStoreAnswers
    | DropRequests
    | DropAnswers
    | CutAnswers
    | CrashRequest
)
