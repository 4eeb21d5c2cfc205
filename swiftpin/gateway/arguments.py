"""Flags of `swiftpin-gateway`."""

from __future__ import annotations

from argparse import ArgumentParser, RawDescriptionHelpFormatter
from typing import Final, NoReturn

from swiftpin.exceptions import ConfigurationError
from swiftpin.gateway.settings import (
    DEFAULT_GRANT_INTERVAL,
    DEFAULT_GRANT_TTL,
    DEFAULT_HEARTBEAT_INTERVAL,
    DEFAULT_HOLDER_LIMIT,
    DEFAULT_LOG_SAMPLE,
    DEFAULT_OUTAGE_LIMIT,
    DEFAULT_REQUEST_LIMIT,
    DEFAULT_STOP_LIMIT,
)

PROGRAM: Final = "swiftpin-gateway"
DESCRIPTION: Final = """\
Route callers' requests to the servers that own their keys.

Each flag may be given as an environment variable instead: --peer-listen is
SWIFTPIN_PEER_LISTEN. A flag goes before a variable."""
EPILOG: Final = """\
Exit status: 0 after a graceful stop (SIGTERM or SIGINT), 1 when a second signal
ended it at once, 2 when a setting is wrong or a port is in use."""


class SettingsArgumentParser(ArgumentParser):
    """Parser that raises instead of printing its usage and leaving."""

    def error(self, message: str) -> NoReturn:
        """Raise `ConfigurationError`."""
        raise ConfigurationError(message)


def build_parser() -> SettingsArgumentParser:
    """Return the parser; values stay text and are None where no flag was given."""
    parser = SettingsArgumentParser(
        prog=PROGRAM,
        description=DESCRIPTION,
        epilog=EPILOG,
        formatter_class=RawDescriptionHelpFormatter,
        allow_abbrev=False,
    )
    _add_identity(parser)
    _add_platform(parser)
    _add_logging(parser)
    _add_limits(parser)
    _add_security(parser)
    return parser


def _add_identity(parser: ArgumentParser) -> None:
    """Add who the instance is and where it listens."""
    group = parser.add_argument_group("instance (all needed)")
    group.add_argument("--name", metavar="NAME", help="name in the instance list")
    group.add_argument("--zone", metavar="ZONE", help="availability zone")
    group.add_argument("--listen", metavar="HOST:PORT", help="callers' requests (HTTP)")
    group.add_argument(
        "--peer-listen", metavar="HOST:PORT", help="other instances' messages (gRPC)"
    )
    group.add_argument(
        "--forward-listen",
        metavar="HOST:PORT",
        help="requests that other instances send on (HTTP)",
    )
    group.add_argument(
        "--admin-listen", metavar="HOST:PORT", help="metrics, health and status (HTTP)"
    )


def _add_platform(parser: ArgumentParser) -> None:
    """Add where the platform's services are."""
    group = parser.add_argument_group("platform (all needed)")
    group.add_argument("--store-url", metavar="URL", help="object store, http[s]://H:P")
    group.add_argument(
        "--instances-url", metavar="URL", help="instance list, http://H:P"
    )


def _add_logging(parser: ArgumentParser) -> None:
    """Add what is recorded."""
    group = parser.add_argument_group("logging")
    group.add_argument(
        "--log-level", metavar="LEVEL", help="debug, info or warning (info)"
    )
    group.add_argument(
        "--log-sample",
        metavar="SHARE",
        help="share of successful requests that get a line, 0 to 1; failed ones "
        f"always do ({DEFAULT_LOG_SAMPLE})",
    )
    group.add_argument(
        "--trace", metavar="FILE", help="write trace events as JSON lines (none)"
    )


def _add_limits(parser: ArgumentParser) -> None:
    """Add times and sizes."""
    group = parser.add_argument_group("limits (seconds unless said otherwise)")
    for flag, default, text in (
        ("--heartbeat-interval", DEFAULT_HEARTBEAT_INTERVAL, "between heartbeats"),
        ("--holder-limit", DEFAULT_HOLDER_LIMIT, "a lease lasts unconfirmed"),
        ("--grant-interval", DEFAULT_GRANT_INTERVAL, "between renewals of grants"),
        ("--grant-ttl", DEFAULT_GRANT_TTL, "a grant lasts unrenewed"),
        ("--outage-limit", DEFAULT_OUTAGE_LIMIT, "to go on without the store"),
        ("--stop-limit", DEFAULT_STOP_LIMIT, "requests in flight may take at a stop"),
    ):
        group.add_argument(flag, metavar="SECONDS", help=f"{text} ({default})")
    group.add_argument(
        "--request-limit",
        metavar="COUNT",
        help=f"requests served at once ({DEFAULT_REQUEST_LIMIT})",
    )


def _add_security(parser: ArgumentParser) -> None:
    """Add files of certificates, keys and the token."""
    group = parser.add_argument_group(
        "security (PEM files, read again when they change; none: no TLS)"
    )
    for flag, text in (
        ("--listen-tls-cert", "shown to callers"),
        ("--listen-tls-key", "key of --listen-tls-cert"),
        ("--peer-tls-cert", "shown to other instances, as client and as server"),
        ("--peer-tls-key", "key of --peer-tls-cert"),
        ("--peer-tls-ca", "CA that other instances' certificates must be of"),
        ("--store-tls-ca", "CA of the object store's certificate"),
        ("--store-tls-cert", "shown to the object store"),
        ("--store-tls-key", "key of --store-tls-cert"),
        ("--store-token-file", "token sent to the object store as Bearer"),
        ("--targets-tls-ca", "CA of targets' certificates; turns TLS to them on"),
        ("--targets-tls-cert", "shown to targets"),
        ("--targets-tls-key", "key of --targets-tls-cert"),
    ):
        group.add_argument(flag, metavar="FILE", help=text)
