"""Random sequences of requests, takeovers and faults against the journal."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field, replace

from hypothesis import given, settings
from hypothesis import strategies as st

from swiftpin.dispatch.begun import Begun
from swiftpin.dispatch.exceptions import TicketOfferedError
from swiftpin.dispatch.journal import IdempotencyJournal
from swiftpin.dispatch.not_run import NotRun
from swiftpin.dispatch.outcome import Outcome
from swiftpin.dispatch.replayed import Replayed
from swiftpin.dispatch.unknown import Unknown
from swiftpin.exceptions import RequestError, StoreError
from swiftpin.result import Executed
from tests.dispatch.conftest import FakeClock, JournalMaker, answered, begin_request
from tests.dispatch.fake_store import FakeStore

KEYS = ("k1", "k2", "k3")
OUTCOMES: dict[str, Outcome] = {
    "answered": answered(),
    "unknown": Unknown(),
    "not-run": NotRun(),
}
STEPS = st.one_of(
    st.tuples(st.just("begin"), st.sampled_from(KEYS)),
    st.tuples(st.just("begin-at-deposed"), st.sampled_from(KEYS)),
    st.tuples(st.sampled_from(sorted(OUTCOMES)), st.sampled_from(KEYS)),
    st.tuples(
        st.sampled_from(
            ["takeover", "crash", "reopen", "down", "up", "lose", "delay", "release"]
        ),
        st.just(""),
    ),
)


@dataclass(kw_only=True, slots=True)
class World:
    """One lease holder at a time, deposed ones, and callers that keep their tickets."""

    maker: JournalMaker
    store: FakeStore
    term: int = 0
    holder: IdempotencyJournal | None = None
    deposed: list[IdempotencyJournal] = field(default_factory=list)
    runs_by_key: dict[str, int] = field(default_factory=dict)
    running: dict[str, IdempotencyJournal] = field(default_factory=dict)
    tickets_by_key: dict[str, str] = field(default_factory=dict)

    async def async_step(self, action: str, key: str) -> None:
        """Carry out one step."""
        store = self.store
        match action:
            case "begin":
                await self.async_begin(self.holder, key, self.tickets_by_key.get(key))
            case "begin-at-deposed":
                for journal in self.deposed:
                    await self.async_begin_at_deposed(journal, key)
            case "answered" | "unknown" | "not-run":
                await self.async_finish(key, OUTCOMES[action])
            case "takeover" | "crash":
                await self.async_takeover(crash=action == "crash")
            case "reopen":
                await self.async_reopen()
            case "down" | "up":
                store.down = action == "down"
            case "lose":
                store.lost_answers += 1
            case "delay":
                store.delayed_writes += 3
            case "release":
                store.release_delayed()

    async def async_begin(
        self, journal: IdempotencyJournal | None, key: str, ticket: str | None
    ) -> None:
        """Send a request, and check what is said about earlier ones."""
        if journal is None:
            return
        request = begin_request(key, ticket=ticket)
        try:
            result = await journal.async_begin(request, self.maker.clock.now)
        except RequestError as err:
            if err.executed is Executed.NO:
                assert not self.runs_by_key.get(key), "said not run of one that ran"
            if isinstance(err, TicketOfferedError):
                self.tickets_by_key[key] = err.ticket
            return
        match result:
            case Begun():
                assert not self.runs_by_key.get(key), "ran a second time"
                self.runs_by_key[key] = 1
                self.running[key] = journal
            case Replayed():
                assert self.runs_by_key.get(key), "replayed one that never ran"

    async def async_begin_at_deposed(
        self, journal: IdempotencyJournal, key: str
    ) -> None:
        """Send a request to a holder whose check of the lease is fooled.

        What it says of other holders' work may be wrong then, and with a ticket it
        would run; what needs the store must not run all the same.
        """
        request = begin_request(key)
        with suppress(RequestError):
            result = await journal.async_begin(request, self.maker.clock.now)
            assert not isinstance(result, Begun), "ran at a deposed holder"

    async def async_finish(self, key: str, outcome: Outcome) -> None:
        """End a request that runs."""
        journal = self.running.pop(key, None)
        if journal is None:
            return
        if outcome == NotRun():
            del self.runs_by_key[key]
        await journal.async_finish(key, outcome, self.maker.clock.now)

    async def async_takeover(self, *, crash: bool) -> None:
        """Let another instance take over from one that crashed, or was only paused."""
        if self.holder is not None and crash:
            await self.holder._writer.async_stop()
            self.running = {
                key: journal
                for key, journal in self.running.items()
                if journal is not self.holder
            }
        elif self.holder is not None:
            self.deposed.append(self.holder)
        self.term += 2
        self.holder = self.maker.make(f"i{self.term}/1")
        await self.async_reopen(raise_term=False)

    async def async_reopen(self, *, raise_term: bool = True) -> None:
        """Open the holder's journal, at a later term or for the first time."""
        if self.holder is None:
            return
        self.term += 2 * raise_term
        try:
            await self.holder.async_open(self.term, self.maker.clock.now)
        except StoreError:
            return


@settings(max_examples=400, deadline=None, derandomize=True)
@given(steps=st.lists(STEPS, max_size=30))
def test_runs_at_most_once(steps: list[tuple[str, str]]) -> None:
    """No request runs twice, and none that ran is called "not run".

    Holders crash, are paused past their lease and come back, the store goes away,
    loses answers and delays writes; callers send again with the ticket they got.
    """

    async def async_run() -> None:
        store = FakeStore()
        maker = JournalMaker(store=store, clock=FakeClock())
        maker.settings = replace(maker.settings, page_limit=300, archive_limit=600)
        world = World(maker=maker, store=store)
        await world.async_step("takeover", "")
        for action, key in steps:
            await asyncio.wait_for(world.async_step(action, key), timeout=10)
        await maker.async_close()

    asyncio.run(async_run())
