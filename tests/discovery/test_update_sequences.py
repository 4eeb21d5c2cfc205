"""Random orders of lists, watches and neighbours' updates."""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import given
from hypothesis import strategies as st

from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.model.target import Target
from swiftpin.platform.platform_object import PlatformObject
from swiftpin.platform.target_entries import decode_target
from tests.discovery.conftest import DRAIN, entry, ids, removed

NAMES = ("a", "b", "c")
START = "start"
REPORT = "report"
REMOVAL = "removal"


@dataclass(frozen=True, kw_only=True)
class Write:
    """A write of an entry: a target's start, its report, or a removal."""

    name: str
    kind: str


@dataclass(frozen=True, kw_only=True)
class Update:
    """Something that arrives: a list, a watch's answer or a neighbour's update."""

    kind: str
    revision: int
    """Revision of the store at which it was made; those of the history are taken."""


@dataclass(kw_only=True)
class History:
    """What was written, by revision, beginning with 1."""

    changes: list[PlatformObject] = field(default_factory=list)
    starts_by_name: dict[str, int] = field(default_factory=dict)

    def write(self, write: Write) -> None:
        """Note a write; the removal of what is not there is none."""
        revision = len(self.changes) + 1
        if write.kind == REMOVAL:
            if write.name in self.entries_at(revision):
                self.changes.append(removed(write.name, revision))
            return
        if write.kind == START or write.name not in self.starts_by_name:
            # Clocks may be set back, so a later start need not be a higher number.
            self.starts_by_name[write.name] = 1000 - revision
        born = self.starts_by_name[write.name]
        self.changes.append(entry(write.name, revision, born=born))

    def entries_at(self, revision: int) -> dict[str, PlatformObject]:
        """Return the entries that were there at a revision, by name."""
        entries: dict[str, PlatformObject] = {}
        for change in self.changes[:revision]:
            entries.pop(change.name, None)
            if not change.is_deleted:
                entries[change.name] = change
        return entries

    def targets_at(self, revision: int) -> list[Target]:
        """Return the targets that were there at a revision."""
        return [decode_target(found) for found in self.entries_at(revision).values()]


writes = st.builds(
    Write,
    name=st.sampled_from(NAMES),
    kind=st.sampled_from([START, REPORT, REMOVAL]),
)
arrivals = st.builds(
    Update,
    kind=st.sampled_from(["list", "watch", "neighbour"]),
    revision=st.integers(1, 12),
)


def arrive(
    directory: TargetDirectory, history: History, update: Update, watched: int
) -> int:
    """Hand an update on; return up to which revision the watch has come."""
    revision = min(update.revision, len(history.changes))
    match update.kind:
        case "list":
            listed = tuple(history.entries_at(revision).values())
            directory.adopt_list(listed, revision, 1.0)
        case "watch":
            revision = max(revision, watched)
            changes = tuple(history.changes[watched:revision])
            directory.adopt_changes(changes, revision, 1.0)
            return revision
        case _:
            told = history.targets_at(revision)
            changed = [found for found in told if found.revision > directory.version]
            present = frozenset(found.id for found in told)
            directory.adopt_update(changed, present, revision, 1.0)
    return watched


@given(st.lists(writes, min_size=1, max_size=12), st.lists(arrivals, max_size=12))
def test_picture_is_the_stores_at_the_latest_revision_that_was_told(
    written: list[Write], arrived: list[Update]
) -> None:
    """Symptom: requests went to a target that had left, or that had started again.

    Sequence: any order of updates from the store and from neighbours, each from any
    time. Cause: some of it was older than what was known, and was taken.
    """
    history = History()
    for write in written:
        history.write(write)
    directory = TargetDirectory(StoreHealth(), DRAIN)
    directory.set_services({"desk"}, 0.0)
    watched = 0
    latest = 0
    for update in arrived:
        watched = arrive(directory, history, update, watched)
        assert directory.version >= latest
        latest = directory.version
        assert ids(directory) == {found.id for found in history.targets_at(latest)}
        assert {found.id for found in directory.listed_targets()} == ids(directory)
