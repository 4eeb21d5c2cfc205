"""Components for what targets state about themselves in their answers."""

from __future__ import annotations

from collections.abc import Callable

from swiftpin.core import callback
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.notices.answer_listener import AnswerListener
from swiftpin.notices.send_policy import SendPolicy
from swiftpin.notices.target_backoffs import TargetBackoffs
from swiftpin.permits.rate_reports import RateReports
from swiftpin.poison.suspect_table import SuspectTable
from swiftpin.poison.suspicion import LifeSign
from swiftpin.relays.relay_client import RelayClient
from swiftpin.router.address_checks import AddressChecks
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.drain_checks import DrainChecks
from swiftpin.router.drain_reports import DrainReports
from swiftpin.router.http_clients import HttpClients
from swiftpin.router.metrics import Metrics
from swiftpin.router.send_cutoff import SendCutoff
from swiftpin.router.target_client import TargetClient


class TargetNotices:
    """Connects the records of statements to what fills and what reads them.

    `on_drain` is called when a target is found to be leaving, `on_life_sign` with
    answers of targets that may have ended under a request.
    """

    def __init__(
        self,
        *,
        clients: HttpClients,
        configuration: ConfigurationHolder,
        directory: TargetDirectory,
        rate_reports: RateReports,
        drain_reports: DrainReports,
        on_drain: Callable[[], None],
        suspects: SuspectTable,
        cutoff: SendCutoff,
        on_life_sign: Callable[[LifeSign], None],
    ) -> None:
        self.backoffs = TargetBackoffs()
        self._directory = directory
        self._rate_reports = rate_reports
        self._drain_reports = drain_reports
        self._on_drain = on_drain
        drains = directory.announced_drains
        self.listener = AnswerListener(
            rate_reports=rate_reports, drains=drains, backoffs=self.backoffs
        )
        self.client = TargetClient(
            client=clients.targets,
            relay_client=RelayClient(clients.relays),
            policy=SendPolicy(
                directory=directory,
                rate_reports=rate_reports,
                backoffs=self.backoffs,
                suspects=suspects,
            ),
            cutoff=cutoff,
            suspects=suspects,
            on_life_sign=on_life_sign,
            listener=self.listener,
        )
        self._checks = DrainChecks(
            client=self.client,
            configuration=configuration,
            directory=directory,
            drains=drains,
            backoffs=self.backoffs,
        )
        self._address_checks = AddressChecks(
            client=self.client, configuration=configuration, directory=directory
        )
        directory.set_on_shared_address(self._address_checks.start)
        drains.on_unconfirmed = self._checks.start
        drains.on_confirmed = self._handle_confirmed_drain
        drain_reports.on_news = on_drain

    @callback
    def unload(self) -> None:
        """Cancel the checks of targets."""
        self._checks.unload()
        self._address_checks.unload()

    @callback
    def update(self, metrics: Metrics, now: float) -> None:
        """Drop the statements of targets that are gone and update the metrics."""
        targets = self._directory.targets_by_id.keys()
        drains = self._directory.announced_drains
        drains.retain_targets(targets)
        self.backoffs.retain_targets(targets, now)
        self._rate_reports.retain_targets(targets)
        metrics.announced_drains = drains.count()
        metrics.backoff_targets = self.backoffs.count(now)
        metrics.limited_targets = len(self._rate_reports.limited_targets)

    @callback
    def _handle_confirmed_drain(self, target_id: str) -> None:
        """Stop new work for a target that is leaving, here and elsewhere."""
        self._drain_reports.report(target_id)
        self._on_drain()
