"""Quarantine of requests that crash targets, on the request path."""

from __future__ import annotations

from collections.abc import Callable
from types import TracebackType
from typing import Final

from eliot import log_message

from swiftpin.config.service import Service
from swiftpin.core import callback, monotonic_now
from swiftpin.dispatch.quarantine import Quarantine
from swiftpin.dispatch.quarantine_verdict import QuarantineVerdict
from swiftpin.dispatch.run_ending import RunEnding
from swiftpin.dispatch.suspect_run import SuspectRun
from swiftpin.exceptions import CallerLeftError, NotRunError, StoreError
from swiftpin.gateway.target_job import TargetJob
from swiftpin.gateway.target_lives import TargetLives
from swiftpin.gateway.target_name import TargetName

LABEL_LENGTH: Final = 200

QuarantineFactory = Callable[[Service], Quarantine]


class CrashGuard:
    """Tells each service's quarantine what runs where, and which targets died."""

    def __init__(self, make_quarantine: QuarantineFactory, lives: TargetLives) -> None:
        self._make_quarantine = make_quarantine
        self._lives = lives
        self._quarantines_by_service: dict[str, Quarantine] = {}
        lives.on_death = self._target_died

    @callback
    def check(self, job: TargetJob) -> QuarantineVerdict:
        """Return how the job may run; raise `QuarantinedError` if not at all."""
        return self._quarantine(job.incoming.service).check(job.fingerprint)

    @callback
    def watch(self, job: TargetJob) -> CrashWatch:
        """Return a context manager around the job's time at its target."""
        self._lives.track(job.incoming.service.name, job.target)
        return CrashWatch(self._quarantine(job.incoming.service), self._lives, job)

    async def async_sync(self, service: Service) -> None:
        """Learn what other instances suspect."""
        await self._async_sync(self._quarantine(service), service.name)

    async def async_sync_suspicions(self) -> None:
        """Exchange suspicions with other instances and operators, where there are any.

        Without any nothing is asked of the store: services without crashes cost it
        no calls.
        """
        for service, quarantine in list(self._quarantines_by_service.items()):
            if quarantine.needs_sync or quarantine.entries:
                await self._async_sync(quarantine, service)

    async def _async_sync(self, quarantine: Quarantine, service: str) -> None:
        """Exchange with the store; a failure is made up for at the next time."""
        try:
            await quarantine.async_sync(monotonic_now())
        except StoreError as err:
            log_message(
                message_type="quarantine_sync_failed",
                level="warning",
                service=service,
                error=str(err),
            )

    @callback
    def _quarantine(self, service: Service) -> Quarantine:
        """Return the service's quarantine."""
        quarantine = self._quarantines_by_service.get(service.name)
        if quarantine is None:
            quarantine = self._make_quarantine(service)
            self._quarantines_by_service[service.name] = quarantine
        return quarantine

    @callback
    def _target_died(self, name: TargetName, boot_id: str) -> None:
        """Suspect what a target was running when it died."""
        quarantine = self._quarantines_by_service.get(name.service)
        if quarantine is None:
            return
        quarantine.target_died(name.target, boot_id, monotonic_now())
        log_message(
            message_type="target_died",
            level="warning",
            service=name.service,
            target=name.target,
            boot_id=boot_id,
            suspected=quarantine.needs_sync,
        )


class CrashWatch:
    """Notes that a request runs at a target, and how that ended."""

    __slots__ = ("_job", "_lives", "_quarantine", "_run")

    def __init__(
        self, quarantine: Quarantine, lives: TargetLives, job: TargetJob
    ) -> None:
        self._quarantine = quarantine
        self._lives = lives
        self._job = job
        self._run: SuspectRun

    def __enter__(self) -> None:
        job = self._job
        self._run = self._quarantine.begin(
            job.target.id, job.fingerprint, job.incoming.full_path[:LABEL_LENGTH]
        )

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        ending = self._ending(exc)
        if ending is RunEnding.BROKEN:
            self._run.label = self._label()
        self._quarantine.end(self._run, ending, monotonic_now())
        if ending is RunEnding.BROKEN:
            name = TargetName(self._job.incoming.service.name, self._job.target.id)
            self._lives.look(name)

    def _label(self) -> str:
        """Return what names the request to operators."""
        incoming = self._job.incoming
        label = f"{incoming.method} {incoming.path} key={incoming.key}"
        return label[:LABEL_LENGTH]

    def _ending(self, exc: BaseException | None) -> RunEnding:
        """Return how the run ended, as far as the target's life is concerned."""
        if exc is None:
            return RunEnding.ANSWERED
        if isinstance(exc, NotRunError | CallerLeftError):
            return RunEnding.NOT_RUN
        return RunEnding.BROKEN if self._job.state.written else RunEnding.NOT_RUN
