"""Command line of the stand-ins."""

from __future__ import annotations

from argparse import ArgumentParser, ArgumentTypeError, Namespace
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TypeVar

from swiftpin.exceptions import ConfigurationError
from swiftpin.helpers.address import Address, parse_address
from swiftpin.standins.listed_instance import ListedInstance, parse_instance

COMMAND_STORE = "store"
COMMAND_TARGET = "target"
COMMAND_INSTANCES = "instances"

_ParsedT = TypeVar("_ParsedT")


def parse_arguments(argv: Sequence[str] | None) -> Namespace:
    """Return the arguments; ends the process with status 2 when they are wrong."""
    parser = ArgumentParser(prog="swiftpin-standin", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    _add_store(commands.add_parser(COMMAND_STORE, help="object store"))
    _add_target(commands.add_parser(COMMAND_TARGET, help="target"))
    _add_instances(commands.add_parser(COMMAND_INSTANCES, help="instance list"))
    return parser.parse_args(argv)


def _add_store(parser: ArgumentParser) -> None:
    """Add the flags of the store."""
    _add_listen(parser)
    parser.add_argument("--latency-ms", type=_amount, default=0.0, metavar="N")
    parser.add_argument("--seed", type=int, default=0, metavar="N")


def _add_target(parser: ArgumentParser) -> None:
    """Add the flags of a target."""
    _add_listen(parser)
    parser.add_argument("--name", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--slots", type=_count, default=2, metavar="N")
    parser.add_argument("--connections", type=_count, default=100, metavar="N")
    parser.add_argument("--work-ms", type=_amount, default=2.0, metavar="N")
    parser.add_argument("--cold-ms", type=_amount, default=0.0, metavar="N")
    parser.add_argument("--load-lag-ms", type=_amount, default=0.0, metavar="N")
    parser.add_argument(
        "--unchecked", action="store_true", help="ignore grants and terms"
    )
    parser.add_argument("--trace", type=Path, metavar="FILE")


def _add_instances(parser: ArgumentParser) -> None:
    """Add the flags of the instance list."""
    _add_listen(parser)
    parser.add_argument("--lag-ms", type=_amount, default=0.0, metavar="N")
    parser.add_argument(
        "--instance",
        type=_instance,
        action="append",
        default=[],
        metavar="NAME,ZONE,PEER,FORWARD,ADMIN",
        help="an instance listed from the start; may be given several times",
    )


def _add_listen(parser: ArgumentParser) -> None:
    """Add the flag of the address, which every stand-in has."""
    parser.add_argument("--listen", type=_address, required=True, metavar="HOST:PORT")


def _address(text: str) -> Address:
    """Return an address; ArgumentTypeError when it is malformed."""
    return _checked(parse_address, text)


def _instance(text: str) -> ListedInstance:
    """Return an instance; ArgumentTypeError when it is malformed."""
    return _checked(parse_instance, text)


def _amount(text: str) -> float:
    """Return a number of milliseconds that is not negative."""
    value = _checked(float, text)
    if not 0 <= value < float("inf"):
        raise ArgumentTypeError(f"{text!r} is not an amount")
    return value


def _count(text: str) -> int:
    """Return a number of at least 1."""
    value = _checked(int, text)
    if value < 1:
        raise ArgumentTypeError(f"{text!r} is not at least 1")
    return value


def _checked(parse: Callable[[str], _ParsedT], text: str) -> _ParsedT:
    """Return the parsed text; ArgumentTypeError carries the reason when it fails."""
    try:
        return parse(text)
    except (ValueError, ConfigurationError) as err:
        raise ArgumentTypeError(str(err)) from err
