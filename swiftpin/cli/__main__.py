"""The command `swiftpin`."""

from __future__ import annotations

from argparse import Namespace
from collections.abc import Sequence
import os
import sys
from typing import TextIO

from aiohttp import ClientSession
import uvloop

from swiftpin.cli.context import Context
from swiftpin.cli.exit_status import ExitStatus
from swiftpin.cli.parser import build_parser
from swiftpin.config.change_unsettled_error import ChangeUnsettledError
from swiftpin.config.declarations_error import DeclarationsError
from swiftpin.config.lost_race_error import LostRaceError
from swiftpin.exceptions import StoreError, StoreUnavailableError, SwiftpinError


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return its exit status."""
    args = build_parser(os.environ).parse_args(argv)
    try:
        return uvloop.run(async_main(args, out=sys.stdout, err=sys.stderr))
    except KeyboardInterrupt:
        return ExitStatus.INTERRUPTED
    except BrokenPipeError:
        # The reader of the output, such as `head`, has left. Without this the
        # interpreter complains once more when it flushes the stream at its end.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitStatus.OK


async def async_main(args: Namespace, *, out: TextIO, err: TextIO) -> ExitStatus:
    """Run one command; errors become one line each and an exit status."""
    async with ClientSession() as session:
        context = Context(
            session=session,
            out=out,
            err=err,
            author=args.author,
            store_url=args.store_url,
            instances_url=args.instances_url,
            store_tls_ca=args.store_tls_ca,
            store_tls_cert=args.store_tls_cert,
            store_tls_key=args.store_tls_key,
            store_token_file=args.store_token_file,
        )
        try:
            status: ExitStatus = await args.run(args, context)
        except SwiftpinError as error:
            for line in _lines(error):
                context.note(line)
            return _exit_status(error)
        return status


def _lines(error: SwiftpinError) -> list[str]:
    """Return what to tell the operator."""
    match error:
        case DeclarationsError():
            return [str(problem) for problem in error.problems]
        case LostRaceError():
            name = error.config_name
            return [
                f"{error}; to go on, look at swiftpin history {name.kind} {name.name} "
                "and run the same command again: it starts from what is there now"
            ]
        case ChangeUnsettledError():
            name = error.change.id
            return [
                f"{error}; once the store is back, swiftpin history {name.kind} "
                f"{name.name} shows whether the writer is there; running the same "
                "command again is safe"
            ]
        case StoreUnavailableError():
            return [f"the store cannot be reached, nothing more was changed: {error}"]
        case _:
            return [" ".join(str(error).split())]


def _exit_status(error: SwiftpinError) -> ExitStatus:
    """Return the exit status of an error."""
    match error:
        case LostRaceError():
            return ExitStatus.LOST_RACE
        case ChangeUnsettledError():
            return ExitStatus.OUTCOME_UNKNOWN
        case StoreError():
            return ExitStatus.STORE_UNREACHABLE
        case _:
            return ExitStatus.WRONG_USE


if __name__ == "__main__":
    raise SystemExit(main())
