"""Property test of lists, watch answers and neighbour updates in random order."""

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
    """A write to an entry: the start of a target, its report, or a removal."""

    name: str
    kind: str


@dataclass(frozen=True, kw_only=True)
class Update:
    """A received list, watch answer or neighbour update."""

    kind: str
    revision: int
    """Store revision of the update, limited to the revisions of the history."""


@dataclass(kw_only=True)
class History:
    """All writes in order of revision, starting at 1."""

    changes: list[PlatformObject] = field(default_factory=list)
    starts_by_name: dict[str, int] = field(default_factory=dict)

    def write(self, write: Write) -> None:
        """Add a write; the removal of a missing entry is ignored."""
        revision = len(self.changes) + 1
        if write.kind == REMOVAL:
            if write.name in self.entries_at(revision):
                self.changes.append(removed(write.name, revision))
            return
        if write.kind == START or write.name not in self.starts_by_name:
            # Clocks may be set back, so a later start may have a lower number.
            self.starts_by_name[write.name] = 1000 - revision
        born = self.starts_by_name[write.name]
        self.changes.append(entry(write.name, revision, born=born))

    def entries_at(self, revision: int) -> dict[str, PlatformObject]:
        """Return the entries that existed at a revision, by name."""
        entries: dict[str, PlatformObject] = {}
        for change in self.changes[:revision]:
            entries.pop(change.name, None)
            if not change.is_deleted:
                entries[change.name] = change
        return entries

    def targets_at(self, revision: int) -> list[Target]:
        """Return the targets that existed at a revision."""
        return [decode_target(item) for item in self.entries_at(revision).values()]


writes = st.builds(
    Write,
    name=st.sampled_from(NAMES),
    kind=st.sampled_from([START, REPORT, REMOVAL]),
)
received_updates = st.builds(
    Update,
    kind=st.sampled_from(["list", "watch", "neighbour"]),
    revision=st.integers(1, 12),
)


def apply_update(
    directory: TargetDirectory, history: History, update: Update, watched: int
) -> int:
    """Apply an update; return the revision that the watch has reached."""
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
            reported = history.targets_at(revision)
            changed = [item for item in reported if item.revision > directory.version]
            present = frozenset(item.id for item in reported)
            directory.adopt_update(changed, present, revision, 1.0)
    return watched


@given(
    st.lists(writes, min_size=1, max_size=12), st.lists(received_updates, max_size=12)
)
def test_directory_matches_the_store_at_the_latest_received_revision(
    write_sequence: list[Write], updates: list[Update]
) -> None:
    """Guards against requests to targets that left or restarted.

    This happened if an update from the store or a neighbour was applied although it was
    older than the known state. The updates arrive in any order and from any revision.
    """
    history = History()
    for write in write_sequence:
        history.write(write)
    directory = TargetDirectory(StoreHealth(), DRAIN)
    watched = 0
    latest = 0
    for update in updates:
        watched = apply_update(directory, history, update, watched)
        assert directory.version >= latest
        latest = directory.version
        assert ids(directory) == {item.id for item in history.targets_at(latest)}
        assert {item.id for item in directory.listed_targets()} == ids(directory)
