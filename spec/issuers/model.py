"""Issuers of permits whose lists and confirmations may be late or missing.

Links may be cut and restored at any time, so whether an instance receives a list or a
confirmation is free at each step. A confirmation counts from a time before it was sent,
so one that arrives late equals one that expires earlier.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from itertools import combinations
from typing import Any

from minicheck import Protocol

from spec.issuers.weakness import IssuerWeakness
from spec.issuers.world import (
    CONFIRMATION_TICKS,
    INSTANCES,
    MAX_MISSED,
    WAIT_TICKS,
    Issuer,
    IssuerWorld,
)

Step = tuple[str, IssuerWorld]


def issuer_authority(name: str, weakness: IssuerWeakness, max_issuers: int) -> Protocol:
    """Return the protocol with the given weakness for `max_issuers` at a time."""

    def within_limit(state: Mapping[str, Any]) -> bool:
        """Return whether no more issuers than allowed are authorized."""
        return _authorized(weakness, state["issuers"]) <= max_issuers

    return Protocol(
        name=name,
        candidate=False,
        fields=IssuerWorld._fields,
        initial=IssuerWorld(),
        transitions=lambda state: list(
            _steps(weakness, max_issuers, IssuerWorld._make(state))
        ),
        invariants={"within_limit": within_limit},
    )


def _authorized(weakness: IssuerWeakness, issuers: tuple[Issuer, ...]) -> int:
    """Return how many issuers may grant permits."""
    if weakness.starts_at_once:
        wait_ticks = 0
    elif weakness.starts_too_soon:
        wait_ticks = CONFIRMATION_TICKS - 1
    else:
        wait_ticks = WAIT_TICKS
    return sum(
        issuer.is_ranked
        and issuer.ranked_ticks >= wait_ticks
        and issuer.confirmed_ticks > 0
        for issuer in issuers
    )


def _steps(
    weakness: IssuerWeakness, max_issuers: int, world: IssuerWorld
) -> Iterator[Step]:
    """Yield every possible next step."""
    yield "tick", _world(_advance(weakness, issuer) for issuer in world.issuers)
    for chosen in combinations(range(INSTANCES), max_issuers):
        yield f"list {chosen}", _publish(world, chosen, is_new_term=False)
        yield f"new holder, list {chosen}", _publish(world, chosen, is_new_term=True)
    for number, issuer in enumerate(world.issuers):
        restarted = Issuer(is_in_newest=issuer.is_in_newest)
        yield f"{number} restarts", _with_issuer(world, number, restarted)
        if issuer.missed:
            adopted = _adopt(weakness, issuer)
            yield f"{number} adopts", _with_issuer(world, number, adopted)
        if not issuer.missed or weakness.takes_any_confirmation:
            confirmed = issuer._replace(confirmed_ticks=CONFIRMATION_TICKS)
            yield f"{number} is confirmed", _with_issuer(world, number, confirmed)


def _advance(weakness: IssuerWeakness, issuer: Issuer) -> Issuer:
    """Return an instance one tick later."""
    expired = 0 if weakness.needs_no_confirmation else 1
    return issuer._replace(
        ranked_ticks=min(issuer.ranked_ticks + 1, WAIT_TICKS),
        confirmed_ticks=max(issuer.confirmed_ticks - expired, 0),
    )


def _publish(
    world: IssuerWorld, chosen: tuple[int, ...], *, is_new_term: bool
) -> IssuerWorld:
    """Publish a list, which no instance has adopted yet."""
    return _world(
        issuer._replace(
            is_in_newest=number in chosen,
            missed=min(issuer.missed + 1, MAX_MISSED),
            is_from_new_term=issuer.is_from_new_term or is_new_term,
        )
        for number, issuer in enumerate(world.issuers)
    )


def _adopt(weakness: IssuerWeakness, issuer: Issuer) -> Issuer:
    """Return an instance after it has adopted the newest list.

    Lists are numbered by term, so an instance can't tell how many lists of an earlier
    term it has missed.
    """
    if issuer.is_from_new_term:
        is_continued = weakness.ignores_new_terms
    else:
        is_continued = issuer.missed == 1 or weakness.ignores_missed_lists
    stays_ranked = is_continued and issuer.is_ranked and issuer.is_in_newest
    return Issuer(
        is_in_newest=issuer.is_in_newest,
        is_ranked=issuer.is_in_newest,
        ranked_ticks=issuer.ranked_ticks if stays_ranked else 0,
        confirmed_ticks=issuer.confirmed_ticks if is_continued else 0,
        missed=0,
        is_from_new_term=False,
    )


def _with_issuer(world: IssuerWorld, number: int, issuer: Issuer) -> IssuerWorld:
    """Return the world with one instance replaced."""
    return _world((*world.issuers[:number], issuer, *world.issuers[number + 1 :]))


def _world(issuers: Iterable[Issuer]) -> IssuerWorld:
    """Return a world with the given instances in a fixed order."""
    return IssuerWorld(issuers=tuple(sorted(map(_normalized, issuers))))


def _normalized(issuer: Issuer) -> Issuer:
    """Return an instance without the state that can't authorize it any more.

    An instance that is not ranked waits longer than its confirmation lasts, and one
    that is from an earlier term may have missed any number of lists.
    """
    if not issuer.is_ranked:
        issuer = issuer._replace(ranked_ticks=0)
    if issuer.is_from_new_term:
        issuer = issuer._replace(missed=MAX_MISSED)
    return issuer
