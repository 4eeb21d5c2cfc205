"""Two holders of one group, without a store, whose links to targets can be cut."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from aiohttp import ClientSession

from swiftpin.config.profile import Profile
from swiftpin.config.target_spec import TargetSpec
from swiftpin.core import monotonic_now
from swiftpin.exceptions import TargetUnreachableError
from swiftpin.ownership.group_holder import GroupHolder
from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.holder_environment import HolderEnvironment
from swiftpin.ownership.lease_start import LeaseStart
from swiftpin.ownership.takeover import Takeover
from swiftpin.store.client import StoreClient
from swiftpin.targets.client import TargetClient
from tests.ownership.world import GROUP, TIMING, IdleListener, RecordingEvents, World

UNUSED_ADDRESS = "http://127.0.0.1:1"
"""Nothing listens there, so that every store call fails at once."""


class HolderPair:
    """Holder O and its successor N; `cut` holds pairs of instance and target."""

    def __init__(self, world: World, session: ClientSession) -> None:
        self.cut: set[tuple[str, str]] = set()
        self.cut_after_fence: set[tuple[str, str]] = set()
        self._world = world
        self._session = session

    async def async_first(self) -> GroupHolder:
        """Return O, which starts with a new record."""
        env = self._environment("O/1")
        record = await self._async_first_record(env)
        return GroupHolder(
            env,
            LeaseStart(
                record=record,
                version=1,
                fenced_group=True,
                checks_grants=True,
                predecessor=None,
                store_read_at=monotonic_now(),
            ),
        )

    def second(self, record: GroupRecord) -> GroupHolder:
        """Return N, which takes over by the reserved term."""
        takeover = Takeover(self._environment("N/1"))
        holder = takeover._by_reserved_term(
            self._world.service, record, monotonic_now()
        )
        assert holder is not None
        return holder

    async def _async_first_record(self, env: HolderEnvironment) -> GroupRecord:
        """Return a record that names the targets' present starts."""
        service = self._world.service
        boots = {
            name: (await TargetClient(self._session, spec).async_status()).boot_id
            for name, spec in service.targets_by_id.items()
        }
        record = Takeover(env)._first_record(service, GROUP, frozenset(boots))
        return replace(record, boots_by_target=boots, holder="O/1", successor="N/1")

    def _environment(self, instance_id: str) -> HolderEnvironment:
        """Return what a holder needs."""
        return HolderEnvironment(
            instance_id=instance_id,
            store=StoreClient(self._session, UNUSED_ADDRESS),
            timing=TIMING,
            events=RecordingEvents(),
            listener=IdleListener(),
            client_for=lambda spec: CutClient(self, instance_id, spec),
            service_of=lambda name: self._world.service,
            profile_of=lambda service: Profile(name="p"),
            declared_targets_of=lambda group: frozenset(self._world.targets_by_id),
            leaving_targets_of=lambda service: frozenset(),
            publish=lambda record: None,
            released=lambda group: None,
            successor_for=lambda group: "N/1",
        )

    def client_session(self) -> ClientSession:
        """Return the session of all clients."""
        return self._session


class CutClient(TargetClient):
    """A client that cannot reach a target that is cut off from its instance."""

    def __init__(self, pair: HolderPair, instance_id: str, spec: TargetSpec) -> None:
        super().__init__(pair.client_session(), spec, timeout=TIMING.control_timeout)
        self._pair = pair
        self._link = (instance_id, spec.id)

    async def _async_call(
        self,
        method: str,
        name: str,
        body: object,
        timeout: float,
        boot_id: str | None = None,
    ) -> Any:  # noqa: ANN401 - as in the base class
        """Make the call, unless the link is cut."""
        if self._link in self._pair.cut:
            raise TargetUnreachableError("cut off")
        try:
            return await super()._async_call(method, name, body, timeout, boot_id)
        finally:
            if name == "fence" and self._link in self._pair.cut_after_fence:
                self._pair.cut.add(self._link)
