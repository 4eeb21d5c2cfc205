"""Tests of the supervisor."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path
import signal

import orjson
import pytest

from swiftpin.bench.exceptions import NotReadyError, ProcessEndedError
from swiftpin.bench.processes import supervisor as supervisor_module
from swiftpin.bench.processes.polling import async_poll
from swiftpin.bench.processes.port_allocator import PortAllocator
from swiftpin.bench.processes.process_spec import ProcessSpec
from swiftpin.bench.processes.supervisor import Supervisor

WAIT = 20.0


def server_spec(name: str, address: str) -> ProcessSpec:
    """Return a server of the standard library that answers 200 at /."""
    host, _, port = address.partition(":")
    return ProcessSpec(
        name=name,
        module="http.server",
        arguments=(port, "--bind", host),
        ready_url=f"http://{address}/",
    )


@pytest.fixture
async def supervisor(tmp_path: Path) -> AsyncIterator[Supervisor]:
    """Return a supervisor that ends its processes after the test."""
    async with Supervisor(tmp_path) as supervisor:
        yield supervisor


@pytest.fixture
def spec() -> ProcessSpec:
    """Return a server on a free port."""
    return server_spec("server", PortAllocator().allocate())


def process_state(pid: int) -> str:
    """Return the kernel's letter for the state of a process."""
    return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]


def trace_kinds(supervisor: Supervisor) -> list[str]:
    """Return the kinds of the trace's lines."""
    lines = supervisor.trace_path.read_bytes().splitlines()
    return [orjson.loads(line)["kind"] for line in lines]


async def test_start_waits_until_ready(
    supervisor: Supervisor, spec: ProcessSpec
) -> None:
    """A started server runs and is recorded."""
    process = await supervisor.async_start_ready(spec)
    assert process.is_running
    assert trace_kinds(supervisor) == ["started"]


async def test_early_end_is_reported_with_log(supervisor: Supervisor) -> None:
    """A process that ends before it is ready is told from a slow one."""
    spec = ProcessSpec(
        name="broken",
        module="no_such_module",
        arguments=(),
        ready_url=f"http://{PortAllocator().allocate()}/",
    )
    with pytest.raises(ProcessEndedError, match="No module named no_such_module"):
        await supervisor.async_start_ready(spec)


async def test_wait_for_readiness_is_bounded(supervisor: Supervisor) -> None:
    """A process that never becomes ready ends the wait."""
    address = PortAllocator().allocate()
    spec = server_spec("server", address)
    supervisor.start(
        ProcessSpec(
            name=spec.name,
            module=spec.module,
            arguments=spec.arguments,
            ready_url=f"http://{address}/absent",
        )
    )
    with pytest.raises(NotReadyError):
        await supervisor.async_wait_ready(["server"], 0.2)


async def test_kill_ends_process(supervisor: Supervisor, spec: ProcessSpec) -> None:
    """A killed process ends by the signal and may be started again."""
    await supervisor.async_start_ready(spec)
    supervisor.kill("server")
    code = await supervisor.async_wait_ended("server", WAIT)
    assert code == -signal.SIGKILL
    await supervisor.async_start_ready(spec)
    assert trace_kinds(supervisor) == ["started", "killed", "started"]


async def test_freeze_and_thaw(supervisor: Supervisor, spec: ProcessSpec) -> None:
    """A frozen process stands still and goes on once thawed."""
    process = await supervisor.async_start_ready(spec)
    supervisor.freeze("server")
    await async_poll(lambda: process_state(process.pid) == "T", WAIT)
    supervisor.thaw("server")
    await supervisor.async_wait_ready(["server"])
    assert trace_kinds(supervisor) == ["started", "frozen", "thawed"]


async def test_name_of_running_process_is_refused(
    supervisor: Supervisor, spec: ProcessSpec
) -> None:
    """Two processes never share a name."""
    await supervisor.async_start_ready(spec)
    with pytest.raises(ValueError, match="runs already"):
        supervisor.start(spec)


async def test_processes_end_with_failed_block(
    tmp_path: Path, spec: ProcessSpec
) -> None:
    """An error, or Ctrl-C, leaves no process behind, not even a frozen one."""
    failure = RuntimeError("the experiment failed")

    async def async_experiment(supervisor: Supervisor) -> None:
        await supervisor.async_start_ready(spec)
        supervisor.freeze("server")
        raise failure

    supervisor = Supervisor(tmp_path)
    with pytest.raises(RuntimeError, match="the experiment failed"):
        async with supervisor:
            await async_experiment(supervisor)
    assert supervisor.running == []


async def test_process_limit(
    supervisor: Supervisor, spec: ProcessSpec, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The limits are asked before every start."""
    asked: list[list[int]] = []
    monkeypatch.setattr(supervisor_module, "check_limits", asked.append)
    process = supervisor.start(spec)
    supervisor.start(server_spec("second", PortAllocator().allocate()))
    assert asked == [[], [process.pid]]
