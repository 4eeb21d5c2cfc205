"""Arguments of the operators' command."""

from __future__ import annotations

from argparse import ArgumentParser
from collections.abc import Mapping
import getpass
import os
from pathlib import Path
import socket
from types import ModuleType
from typing import Final

from swiftpin.cli import (
    apply,
    diff,
    explain,
    get,
    history,
    retire,
    rollback,
    schema,
    status,
    stop,
)
from swiftpin.security.store_files import (
    FLAG_STORE_CA,
    FLAG_STORE_CERT,
    FLAG_STORE_KEY,
    FLAG_STORE_TOKEN,
)

MODULES_BY_COMMAND: Final[dict[str, ModuleType]] = {
    "apply": apply,
    "diff": diff,
    "get": get,
    "retire": retire,
    "history": history,
    "rollback": rollback,
    "stop": stop,
    "status": status,
    "explain": explain,
    "schema": schema,
}

STORE_FILES_BY_FLAG: Final = {
    FLAG_STORE_CA: "CA of the store's certificate, needed for https://",
    FLAG_STORE_CERT: "certificate shown to the store",
    FLAG_STORE_KEY: "key of that certificate",
    FLAG_STORE_TOKEN: "token sent to the store as Bearer",
}

EPILOG: Final = (
    "exit status: 0 all well, 1 degraded or not in force everywhere or differences, "
    "2 wrong use or wrong declarations, 3 lost a race, 4 store unreachable, "
    "5 outcome unknown, 130 interrupted"
)


def build_parser(environment: Mapping[str, str]) -> ArgumentParser:
    """Return the parser; the environment gives the defaults of the addresses."""
    parser = ArgumentParser(
        prog="swiftpin", description="Operate swiftpin.", epilog=EPILOG
    )
    parser.add_argument(
        "--store-url",
        default=environment.get("SWIFTPIN_STORE_URL"),
        help="object store (environment: SWIFTPIN_STORE_URL)",
    )
    parser.add_argument(
        "--instances-url",
        default=environment.get("SWIFTPIN_INSTANCES_URL"),
        help="instance list (environment: SWIFTPIN_INSTANCES_URL)",
    )
    for flag, text in STORE_FILES_BY_FLAG.items():
        variable = "SWIFTPIN_" + flag[2:].replace("-", "_").upper()
        parser.add_argument(
            flag,
            metavar="FILE",
            type=Path,
            default=environment.get(variable),
            help=f"{text} (environment: {variable})",
        )
    parser.add_argument(
        "--author",
        default=environment.get("SWIFTPIN_AUTHOR") or _default_author(),
        help="who makes the changes (environment: SWIFTPIN_AUTHOR; default: user@host)",
    )
    commands = parser.add_subparsers(dest="command", required=True)
    for name, module in MODULES_BY_COMMAND.items():
        command = commands.add_parser(name, help=module.HELP, description=module.HELP)
        module.add_arguments(command)
        command.set_defaults(run=module.async_run)
    return parser


def _default_author() -> str:
    """Return user and host; in a container the user may have no name."""
    try:
        user = getpass.getuser()
    except (KeyError, OSError):
        user = str(os.getuid())
    return f"{user}@{socket.gethostname()}"
