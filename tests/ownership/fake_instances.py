"""Several instances in one process, whose connections can be cut."""

from __future__ import annotations

from collections.abc import Mapping

from swiftpin.core import monotonic_now
from swiftpin.exceptions import PeerError
from swiftpin.membership.group_heartbeat import GroupHeartbeat
from swiftpin.membership.heartbeat_reply import HeartbeatReply
from swiftpin.membership.instance_id import name_of
from swiftpin.membership.instance_info import InstanceInfo
from swiftpin.ownership.coordinator import OwnershipCoordinator
from swiftpin.ownership.group_id import GroupId


class FakeNetwork:
    """Delivers peers' messages unless the pair of instances is cut apart."""

    def __init__(self) -> None:
        self.coordinators_by_name: dict[str, OwnershipCoordinator] = {}
        self.infos_by_name: dict[str, InstanceInfo] = {}
        self.incarnations_by_name: dict[str, str] = {}
        self.cut: set[frozenset[str]] = set()

    def add(self, name: str, zone: str) -> None:
        """List an instance."""
        self.infos_by_name[name] = InstanceInfo(
            name=name,
            zone=zone,
            leaving=False,
            peer="127.0.0.1:1",
            forward=f"{name}.forward:1",
            admin="127.0.0.1:1",
        )
        self.incarnations_by_name[name] = "1"

    def reach(self, sender: str, receiver: str) -> OwnershipCoordinator:
        """Return the receiving instance, or raise when it cannot be reached."""
        pair = frozenset({name_of(sender), name_of(receiver)})
        coordinator = self.coordinators_by_name.get(name_of(receiver))
        if coordinator is None or pair in self.cut:
            raise PeerError(f"{receiver} cannot be reached")
        return coordinator


class FakePeers:
    """One instance's calls to others."""

    def __init__(self, network: FakeNetwork, instance_id: str) -> None:
        self._network = network
        self._instance_id = instance_id

    async def async_heartbeat(
        self, instance_id: str, beats: list[GroupHeartbeat]
    ) -> HeartbeatReply:
        """Deliver a heartbeat."""
        receiver = self._network.reach(self._instance_id, instance_id)
        accepted = receiver.handle_heartbeat(self._instance_id, beats, monotonic_now())
        return HeartbeatReply(receiver=instance_id, accepted=accepted)

    async def async_hand_over(
        self, instance_id: str, group: GroupId, term: int
    ) -> bool:
        """Deliver a hand-over."""
        receiver = self._network.reach(self._instance_id, instance_id)
        return await receiver.async_handle_hand_over(
            self._instance_id, group, term, monotonic_now()
        )


class FakeDirectory:
    """The instance list, without a lag."""

    def __init__(self, network: FakeNetwork) -> None:
        self._network = network

    @property
    def instances_by_name(self) -> Mapping[str, InstanceInfo]:
        """Return the listed instances."""
        return self._network.infos_by_name

    @property
    def incarnations_by_name(self) -> Mapping[str, str]:
        """Return their incarnations."""
        return self._network.incarnations_by_name

    def info_of(self, instance_id: str) -> InstanceInfo | None:
        """Return one instance."""
        return self._network.infos_by_name.get(name_of(instance_id))
