"""Starts routers by the deploy file, as processes of their own."""

from __future__ import annotations

import asyncio
from asyncio.subprocess import Process
import contextlib
import json
import os
from pathlib import Path
import shutil
import signal
import socket
import tomllib
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
PORTS = 18
ENV_SETTINGS = "SWIFTPIN_SETTINGS"


def free_ports(host: str, count: int) -> list[int]:
    """Return consecutive ports of a loopback address that nobody listens on."""
    for first in range(20_000 + os.getpid() % 20_000, 60_000, count):
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    probe = stack.enter_context(socket.socket())
                    probe.bind((host, port))
            except OSError:
                continue
            return list(range(first, first + count))
    raise OSError("no free ports")


class Router:
    """One router process on a loopback address of its own."""

    def __init__(
        self, name: str, number: int, folder: Path, ports: list[int] | None
    ) -> None:
        self.name = name
        self.process: Process | None = None
        self.exits: list[int] = []
        """Exit statuses of its processes that have ended."""

        # Addresses by process id keep plays apart that run at the same time.
        group = os.getpid() % 60_000
        self.ip = f"127.{2 + group // 250}.{group % 250}.{10 + number}"
        self.ports = ports or free_ports(self.ip, PORTS)
        """The same ones on all routers."""

        self._folder = folder
        self._is_first = True

    @property
    def front(self) -> tuple[str, int]:
        """Return the address for clients."""
        return self.ip, self.ports[0]

    @property
    def ready(self) -> tuple[str, int]:
        """Return the address for readiness checks."""
        return self.ip, self.ports[1]

    @property
    def log_path(self) -> Path:
        """Return the path of what it writes to standard output."""
        return self._folder / f"{self.name}.log"

    def settings(
        self, store: str, seeds: list[str], bounds: dict[str, Any]
    ) -> dict[str, Any]:
        """Return its settings, like those of a small deployment."""
        front, ready, control, *internal = self.ports
        return {
            "grants": "call",
            "self": {
                "node": self.name,
                "role": "router",
                "machine_class": "front",
                "serves": ["front", "control"],
                "ip": self.ip,
                "zone": "z1",
                "region": "r1",
                "counts_toward_tolerance": False,
                "bootstrap": self._is_first,
                "data_directory": None,
                "limits": {
                    "cpu_share": 0.86,
                    "cores": 1,
                    "memory_mb": 300,
                    "file_descriptors": 4100,
                    "link_mbps": 1000.0,
                    "disk_mb": 0,
                },
            },
            "network": {
                "listen": {
                    "front": f"{self.ip}:{front}",
                    "ready": f"{self.ip}:{ready}",
                    "control": f"{self.ip}:{control}",
                },
                "internal_ports": [internal[0], internal[-1]],
                "seeds": seeds,
                "zones": {"z1": "r1"},
            },
            "platform": {
                "discovery": "platform",
                "entry": "virtual_ip",
                "heartbeat_ms": 870,
                "platform": {
                    "address": store,
                    "form": "objects",
                    "writes_per_s": 400,
                    "reads_per_s": 2000,
                    "history_s": 20,
                    "value_bytes": 1048576,
                    "ttl_min_ms": 1000,
                },
            },
            "terms": {
                "contracts": [
                    "base",
                    "drain",
                    "config",
                    "cost",
                    "retry",
                    "recover",
                    "own",
                    "platform",
                ],
                "tolerate": {"machines": 2, "zones": 0, "regions": 0},
                "bounds": bounds,
            },
        }

    @property
    def settings_path(self) -> Path:
        """Return the path of its settings file."""
        return self._folder / f"{self.name}.json"

    async def start(self, settings: dict[str, Any]) -> None:
        """Start the process with the command of the deploy file."""
        self.settings_path.write_text(json.dumps(settings), encoding="utf-8")
        self._is_first = False
        await self.start_again()

    async def start_again(self) -> None:
        """Start the process with the settings that are in effect."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["router"]
        program, *arguments = role["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            ENV_SETTINGS: str(self.settings_path),
            **role.get("env", {}),
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                shutil.which(program) or program,
                *arguments,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it runs."""
        if self.process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        await self.process.wait()
