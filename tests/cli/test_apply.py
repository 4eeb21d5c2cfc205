"""Tests of `apply`, `diff` and `--wait`."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from swiftpin.cli.exit_status import ExitStatus
from swiftpin.core import monotonic_now
from swiftpin.standins.instance_state import InstanceState
from swiftpin.standins.instances_standin import InstancesStandin
from swiftpin.standins.store_standin import StoreStandin
from tests.cli.conftest import RunCommand
from tests.cli.fake_instance import FakeInstance
from tests.config.faulty_store_client import Fault, FaultyStoreClient

Clients = list[Callable[[FaultyStoreClient], None]]

PROFILE_OBJECT = "config/profile/bookings"
SERVICE_OBJECT = "config/service/desk"


def edit_profile(files: Path, queue_length: int) -> None:
    """Change a field of the profile's file."""
    path = files / "profile.yaml"
    text = path.read_text(encoding="utf-8")
    start, _, _ = text.partition("queue_length")
    path.write_text(f"{start}queue_length: {queue_length}}}\n", encoding="utf-8")


async def test_apply_prints_diff_and_generations(run: RunCommand, files: Path) -> None:
    """Profiles are applied before services, the diff comes first."""
    result = await run("apply", "-f", files)
    assert result.status is ExitStatus.OK
    assert "+  queue_length: 5\n" in result.out
    assert result.out.endswith(
        "profile/bookings generation 1 created\nservice/desk generation 1 created\n"
    )


async def test_apply_again_changes_nothing(
    run: RunCommand, files: Path, store: StoreStandin
) -> None:
    """A second apply writes nothing at all."""
    await run("apply", "-f", files)
    revision = store.state.revision
    result = await run("apply", "-f", files)
    assert result.out == (
        "profile/bookings generation 1 unchanged\nservice/desk generation 1 unchanged\n"
    )
    assert store.state.revision == revision


async def test_dry_run_changes_nothing(
    run: RunCommand, files: Path, store: StoreStandin
) -> None:
    """The diff alone is printed."""
    result = await run("apply", "-f", files, "--dry-run")
    assert result.status is ExitStatus.OK
    assert "+++ service/desk generation 1 (create)" in result.out
    assert store.state.revision == 0


async def test_diff_tells_by_its_exit_status(run: RunCommand, files: Path) -> None:
    """Scripts see whether anything would change."""
    assert (await run("diff", "-f", files)).status is ExitStatus.DEGRADED
    await run("apply", "-f", files)
    assert (await run("diff", "-f", files)).status is ExitStatus.OK


async def test_prune_retires_what_no_file_declares(
    run: RunCommand, files: Path
) -> None:
    """The service goes, its profile stays declared."""
    await run("apply", "-f", files)
    result = await run("apply", "-f", files / "profile.yaml", "--prune")
    assert "service/desk generation 2 retired\n" in result.out
    assert "desk" not in (await run("get")).out


async def test_prune_keeps_a_profile_in_use(run: RunCommand, files: Path) -> None:
    """Symptom: a service runs under a profile that is gone.

    Sequence: a file with only the service is applied with --prune.
    Cause: counting the store's profile although the same run retires it.
    """
    await run("apply", "-f", files)
    result = await run("apply", "-f", files / "service.yaml", "--prune")
    assert result.status is ExitStatus.WRONG_USE
    assert "spec.profile: no profile bookings would be in force" in result.err
    assert "bookings" in (await run("get", "profile")).out


async def test_wrong_files_change_nothing(
    run: RunCommand, files: Path, store: StoreStandin
) -> None:
    """All mistakes are printed, one line each, and nothing is written."""
    wrong = (files / "service.yaml").read_text(encoding="utf-8")
    wrong = wrong.replace("zone: a", "zone: A").replace("keyed", "keyd")
    (files / "service.yaml").write_text(wrong, encoding="utf-8")
    result = await run("apply", "-f", files)
    assert result.status is ExitStatus.WRONG_USE
    lines = result.err.replace(f"{files}/", "").splitlines()
    assert [line.partition(": spec")[0] for line in lines] == [
        "swiftpin: service.yaml:4",
        "swiftpin: service.yaml:6",
        "swiftpin: service.yaml:10",
    ]
    assert store.state.revision == 0


async def test_lost_race_says_who_and_how_to_go_on(
    run: RunCommand, files: Path, clients: Clients
) -> None:
    """Symptom: two operators undo each other's changes without noticing.

    Sequence: both read generation 1; the rival's change is accepted; then comes the
    other's, with a second change behind it.
    Cause: a write that replaces what its writer never saw.
    """
    await run("apply", "-f", files)

    async def async_rival() -> None:
        edit_profile(files, 7)
        await run("apply", "-f", files / "profile.yaml", author="petr@ops")

    def prepare(client: FaultyStoreClient) -> None:
        client.before_put_by_name[PROFILE_OBJECT] = async_rival

    edit_profile(files, 6)
    service = (files / "service.yaml").read_text(encoding="utf-8")
    (files / "service.yaml").write_text(
        service.replace("zone: a", "zone: b"), encoding="utf-8"
    )
    clients.append(prepare)
    result = await run("apply", "-f", files)
    assert result.status is ExitStatus.LOST_RACE
    assert "profile/bookings was not changed: petr@ops wrote it" in result.err
    assert "generation 2, 20" in result.err
    assert "run the same command again" in result.err
    assert result.err.count("\n") == 1
    assert result.out.endswith("service/desk not tried\n")
    assert "queue_length: 7" in (await run("get", "profile", "-o", "yaml")).out


async def test_lost_answer_is_read_back_first(
    run: RunCommand, files: Path, clients: Clients
) -> None:
    """Symptom: apply fails, the operator applies again, and the audit shows two.

    Sequence: the store carries out the write, its answer is lost.
    Cause: reporting before reading back.
    """
    clients.append(
        lambda client: client.faults_by_name[SERVICE_OBJECT].append(Fault.ANSWER_LOST)
    )
    result = await run("apply", "-f", files)
    assert result.status is ExitStatus.OK
    assert "service/desk was lost; read back: the change took effect" in result.err
    assert result.out.endswith("service/desk generation 1 created\n")


async def test_unknown_outcome_has_its_own_exit_status(
    run: RunCommand, files: Path, clients: Clients
) -> None:
    """When the store stays away, neither success nor failure is claimed."""
    clients.append(
        lambda client: client.faults_by_name[SERVICE_OBJECT].append(Fault.STORE_GONE)
    )
    result = await run("apply", "-f", files)
    assert result.status is ExitStatus.OUTCOME_UNKNOWN
    assert "not known whether service/desk generation 1" in result.err
    assert "swiftpin history service desk" in result.err


async def test_store_outage(run: RunCommand, files: Path, store: StoreStandin) -> None:
    """Without the store nothing can be applied, and one line says so."""
    store.faults.outage = True
    result = await run("apply", "-f", files)
    assert result.status is ExitStatus.STORE_UNREACHABLE
    assert result.err.startswith("swiftpin: the store cannot be reached")
    assert result.err.count("\n") == 1


async def test_wait_until_in_force(
    run: RunCommand, files: Path, instance: FakeInstance
) -> None:
    """Apply returns once every live instance has the generations or newer ones."""
    instance.generations = {"service/desk": 1, "profile/bookings": 4}
    result = await run("apply", "-f", files, "--wait")
    assert result.status is ExitStatus.OK
    assert "in force at all 1 live instances" in result.out


async def test_wait_names_instances_that_lag(
    run: RunCommand, files: Path, instance: FakeInstance
) -> None:
    """After the limit the operator knows where the change is missing."""
    instance.generations = {"service/desk": 1}
    result = await run("apply", "-f", files, "--wait", "0")
    assert result.status is ExitStatus.DEGRADED
    assert "instance brno-a-1: profile/bookings is at generation 0, not 1" in result.err
    assert "it is accepted all the same" in result.err


@pytest.mark.parametrize(
    ("state", "expected"),
    [
        (InstanceState.LIVE, ExitStatus.DEGRADED),
        (InstanceState.LEAVING, ExitStatus.OK),
    ],
)
async def test_wait_and_a_silent_instance(
    run: RunCommand,
    files: Path,
    instances: InstancesStandin,
    instance: FakeInstance,
    state: InstanceState,
    expected: ExitStatus,
) -> None:
    """Symptom: a change is said to be in force, and an instance runs by the old one.

    Sequence: one live instance is cut off from the operator and does not answer.
    Cause: asking only those that answer. Instances that leave do not count.
    """
    instance.generations = {"service/desk": 1, "profile/bookings": 1}
    other = FakeInstance(name="brno-b-1")
    await other.async_start()
    instances.change(other.listed(state), monotonic_now())
    await other.async_stop()
    result = await run("apply", "-f", files, "--wait", "0")
    assert result.status is expected


async def test_wait_without_instances_is_not_in_force(
    run: RunCommand, files: Path
) -> None:
    """An empty list shows nothing."""
    result = await run("apply", "-f", files, "--wait", "0")
    assert result.status is ExitStatus.DEGRADED
    assert "no live instance is listed" in result.err


async def test_wait_without_address_changes_nothing(
    run: RunCommand, files: Path, store: StoreStandin
) -> None:
    """A missing setting is noticed before the first write."""
    result = await run("--instances-url", "", "apply", "-f", files, "--wait")
    assert result.status is ExitStatus.WRONG_USE
    assert store.state.revision == 0
