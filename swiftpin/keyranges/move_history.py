"""Recent moves, which must not be reversed without a reason."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from swiftpin.core import callback
from swiftpin.keyranges.move import Move

REVERSAL_TIME: Final = 3.0
"""Seconds for which keys don't return to a target that they left. Keys stay hot for a
few seconds, and each move makes them unavailable while their requests run."""

MIN_CHANGE: Final = 1 / 3
"""Relative change of the demand or of the speed of the target that justifies a return;
it exceeds the error of an estimate from a dozen requests."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PastMove:
    """A move and the circumstances that led to it."""

    move: Move
    at: float
    load: float
    """Requests per second for the moved keys."""

    source_seconds: float
    """Mean time of a request at the former owner."""


class MoveHistory:
    """The moves of the last seconds."""

    def __init__(self) -> None:
        self._past_moves: deque[PastMove] = deque()

    @callback
    def record(
        self,
        moves: Iterable[Move],
        rates_by_key: Mapping[int, float],
        seconds_by_target: Mapping[str, float],
        now: float,
    ) -> None:
        """Record planned moves."""
        for move in moves:
            self._past_moves.append(
                PastMove(
                    move=move,
                    at=now,
                    load=_load(move, rates_by_key),
                    source_seconds=seconds_by_target.get(move.source, 0.0),
                )
            )

    @callback
    def prune(self, now: float) -> None:
        """Drop moves that may be reversed."""
        while self._past_moves and now - self._past_moves[0].at >= REVERSAL_TIME:
            self._past_moves.popleft()

    @callback
    def moved(self, key: int) -> bool:
        """Return whether a key was moved by itself in the last seconds."""
        return any(
            past.move.first == past.move.last == key for past in self._past_moves
        )

    @callback
    def is_reversal(self, move: Move) -> bool:
        """Return whether some keys of a move would return to a target they left."""
        return any(_returns(move, past.move) for past in self._past_moves)

    @callback
    def is_unfounded_reversal(
        self,
        move: Move,
        rates_by_key: Mapping[int, float],
        seconds_by_target: Mapping[str, float],
    ) -> bool:
        """Return whether keys would return although little has changed since."""
        return any(
            not _has_changed(past.load, _load(past.move, rates_by_key))
            and not _has_changed(
                past.source_seconds, seconds_by_target.get(move.to, 0.0)
            )
            for past in self._past_moves
            if _returns(move, past.move)
        )


def _returns(move: Move, past: Move) -> bool:
    """Return whether a move returns keys that an earlier one took from its target."""
    return (
        move.to == past.source and move.first <= past.last and past.first <= move.last
    )


def _load(move: Move, rates_by_key: Mapping[int, float]) -> float:
    """Return the requests per second for the keys of a move."""
    keys = range(move.first, move.last + 1)
    if len(keys) < len(rates_by_key):
        return sum(rates_by_key.get(key, 0.0) for key in keys)
    return sum(rate for key, rate in rates_by_key.items() if key in keys)


def _has_changed(before: float, now: float) -> bool:
    """Return whether a value has changed by more than a third of the larger one."""
    return abs(now - before) > MIN_CHANGE * max(now, before)
