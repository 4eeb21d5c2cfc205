"""Tests of `get`, `retire`, `history`, `rollback`, `stop` and `schema`."""

from __future__ import annotations

from pathlib import Path

from aiohttp import ClientSession
import orjson
import pytest
import yaml

from swiftpin.cli.exit_status import ExitStatus
from swiftpin.standins.instances_standin import InstancesStandin
from swiftpin.standins.store_standin import StoreStandin
from swiftpin.store.client import StoreClient
from tests.cli.conftest import RunCommand
from tests.cli.fake_instance import FakeInstance


@pytest.fixture
async def applied(run: RunCommand, files: Path) -> Path:
    """Return the directory of files that are in force."""
    await run("apply", "-f", files)
    return files


@pytest.mark.usefixtures("applied")
async def test_get_lists_what_is_in_force(run: RunCommand) -> None:
    """Generation and author are shown."""
    lines = (await run("get")).out.splitlines()
    assert lines[0].split() == [
        "KIND",
        "NAME",
        "GENERATION",
        "STATE",
        "WRITTEN",
        "AUTHOR",
    ]
    assert [line.split()[:3] for line in lines[1:]] == [
        ["profile", "bookings", "1"],
        ["service", "desk", "1"],
    ]
    assert lines[1].endswith("jana@ops")


async def test_yaml_of_get_can_be_applied(run: RunCommand, applied: Path) -> None:
    """What is shown is what a file would say."""
    path = applied / "all.yaml"
    path.write_text((await run("get", "-o", "yaml")).out, encoding="utf-8")
    result = await run("apply", "-f", path)
    assert result.out.count("unchanged") == 2


@pytest.mark.usefixtures("applied")
async def test_json_of_get_has_the_envelope(run: RunCommand) -> None:
    """Programs get generation, author and document."""
    (item,) = orjson.loads((await run("get", "Service", "desk", "-o", "json")).out)
    assert item["generation"] == 1
    assert item["author"] == "jana@ops"
    assert item["document"]["spec"]["slices"] == 8


@pytest.mark.usefixtures("applied")
async def test_wrong_name_gets_a_hint(run: RunCommand) -> None:
    """A typing mistake is answered with the nearest name."""
    result = await run("get", "service", "dsk")
    assert result.status is ExitStatus.WRONG_USE
    assert result.err == "swiftpin: there is no service/dsk; did you mean desk?\n"


async def test_broken_object_leaves_others_usable(
    run: RunCommand, applied: Path, store: StoreStandin
) -> None:
    """Symptom: one write by hand stops all operators.

    Sequence: an object under config/ holds no envelope; an operator applies another.
    Cause: reading all declarations or none.
    """
    name = "config/service/vault"
    async with ClientSession() as session:
        await StoreClient(session, store.url).async_put(name, b"broken")
    listed = await run("get")
    assert listed.status is ExitStatus.DEGRADED
    assert "config/service/vault: no JSON" in listed.err
    assert (await run("apply", "-f", applied)).status is ExitStatus.OK


async def test_retired_declaration_keeps_its_generation(
    run: RunCommand, applied: Path
) -> None:
    """What is retired comes back with a higher generation."""
    result = await run("retire", "service", "desk")
    assert result.out.endswith("service/desk generation 2 retired\n")
    again = await run("retire", "service", "desk")
    assert again.out == "service/desk generation 2 unchanged\n"
    result = await run("apply", "-f", applied)
    assert result.out.endswith("service/desk generation 3 created\n")


@pytest.mark.usefixtures("applied")
async def test_profile_in_use_is_not_retired(run: RunCommand) -> None:
    """The services that name it are listed; without them it can go."""
    result = await run("retire", "profile", "bookings")
    assert result.status is ExitStatus.WRONG_USE
    assert "profile/bookings is in use by desk" in result.err
    await run("retire", "service", "desk")
    result = await run("retire", "profile", "bookings")
    assert result.status is ExitStatus.OK


async def test_rollback_makes_a_new_generation(run: RunCommand, applied: Path) -> None:
    """Old contents come back, the generation goes on growing."""
    path = applied / "profile.yaml"
    text = path.read_text(encoding="utf-8")
    path.write_text(text.replace("5", "6"), encoding="utf-8")
    await run("apply", "-f", path)
    result = await run("rollback", "profile", "bookings", "--to", "1")
    assert "-  queue_length: 6\n+  queue_length: 5\n" in result.out
    assert result.out.endswith("profile/bookings generation 3 updated\n")
    lines = (await run("history", "profile", "bookings")).out.splitlines()
    assert [line.split()[:2] for line in lines[1:]] == [
        ["1", "declared"],
        ["2", "declared"],
        ["3", "declared"],
    ]


@pytest.mark.usefixtures("applied")
async def test_rollback_obeys_the_rules(run: RunCommand) -> None:
    """An old document is checked like a new one, and must exist."""
    await run("retire", "service", "desk")
    await run("retire", "profile", "bookings")
    result = await run("rollback", "service", "desk", "--to", "1")
    assert "no profile bookings would be in force" in result.err
    result = await run("rollback", "service", "desk", "--to", "2")
    assert "generation 2 retired it" in result.err
    result = await run("rollback", "service", "desk", "--to", "9")
    assert "generation 9 is not kept; kept are 1, 2" in result.err
    assert result.status is ExitStatus.WRONG_USE


@pytest.mark.usefixtures("applied")
async def test_stop_of_a_target(run: RunCommand) -> None:
    """An order is made once, listed and taken back."""
    arguments = ("stop", "plan", "--service", "desk", "--target", "desk-1")
    result = await run(*arguments)
    assert result.out.endswith("plannedstop/stop-desk-desk-1 generation 1 created\n")
    assert (await run(*arguments)).out.endswith("generation 1 unchanged\n")
    assert "target desk/desk-1  600 s" in (await run("stop", "list")).out
    await run("stop", "cancel", "stop-desk-desk-1")
    assert yaml.safe_load((await run("stop", "list", "-o", "yaml")).out) == []


@pytest.mark.usefixtures("applied", "instance")
@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (
            ["--service", "desk", "--target", "desk-2"],
            "service desk has no target desk-2; did you mean desk-1?",
        ),
        (["--service", "desc", "--target", "x"], "no service desc; did you mean desk?"),
        (["--instance", "brno-a-2"], "no instance brno-a-2 is listed; did you mean"),
        (["--service", "desk"], "either instance, or service and target"),
        ([], "either instance, or service and target"),
    ],
)
async def test_stop_of_something_unknown(
    run: RunCommand, arguments: list[str], message: str
) -> None:
    """A stop that would stop nothing is refused."""
    result = await run("stop", "plan", *arguments)
    assert result.status is ExitStatus.WRONG_USE
    assert message in result.err


async def test_stop_of_an_instance_without_the_list(
    run: RunCommand, instance: FakeInstance, instances: InstancesStandin
) -> None:
    """Symptom: an instance cannot be stopped gracefully during an outage.

    Sequence: the instance list is away when an operator plans a stop.
    Cause: refusing what cannot be checked.
    """
    instances.faults.outage = True
    result = await run("stop", "plan", "--instance", instance.name, "--limit", "30")
    assert result.status is ExitStatus.OK
    assert "is not checked" in result.err
    assert "instance brno-a-1  30 s" in (await run("stop", "list")).out


@pytest.mark.parametrize("arguments", [[], ["Profile"]])
async def test_schema_needs_no_store(run: RunCommand, arguments: list[str]) -> None:
    """The schema is JSON whose references can all be resolved."""
    result = await run("--store-url", "", "schema", *arguments)
    schema = orjson.loads(result.out)
    for reference in references(schema):
        assert reference.removeprefix("#/$defs/") in schema["$defs"]


async def test_no_store_url(run: RunCommand) -> None:
    """The missing setting is named."""
    result = await run("--store-url", "", "get")
    assert result.status is ExitStatus.WRONG_USE
    assert "SWIFTPIN_STORE_URL" in result.err


def references(node: object) -> list[str]:
    """Return all `$ref` values below a node."""
    if isinstance(node, list):
        return [item for child in node for item in references(child)]
    if not isinstance(node, dict):
        return []
    own = [node["$ref"]] if "$ref" in node else []
    return own + [item for child in node.values() for item in references(child)]
