"""The machine that an experiment ran on."""

from __future__ import annotations

from dataclasses import dataclass
from importlib.metadata import version
import os
from pathlib import Path
import platform
from typing import Final

from swiftpin.bench.processes.usage import PAGE_SIZE

CPU_INFO: Final = Path("/proc/cpuinfo")
MODEL_FIELD: Final = "model name"
PACKAGES: Final = ("swiftpin", "aiohttp", "uvloop", "grpclib", "orjson")


@dataclass(frozen=True, kw_only=True, slots=True)
class MachineFacts:
    """Facts without which figures cannot be compared.

    `memory` is in bytes; `load_average` is the kernel's over one minute at the start,
    which tells whether something else was running.
    """

    processor: str
    cores: int
    memory: int
    kernel: str
    python: str
    versions_by_package: dict[str, str]
    load_average: float


def read_machine_facts() -> MachineFacts:
    """Return the facts of this machine."""
    return MachineFacts(
        processor=_processor(),
        cores=len(os.sched_getaffinity(0)),
        memory=os.sysconf("SC_PHYS_PAGES") * PAGE_SIZE,
        kernel=platform.release(),
        python=platform.python_version(),
        versions_by_package={name: version(name) for name in PACKAGES},
        load_average=os.getloadavg()[0],
    )


def _processor() -> str:
    """Return the processor's model name."""
    for line in CPU_INFO.read_text().splitlines():
        name, _, value = line.partition(":")
        if name.strip() == MODEL_FIELD:
            return value.strip()
    return platform.machine()
