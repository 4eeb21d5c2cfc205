"""Tests for file settings of the daemon and the command line."""

from __future__ import annotations

from argparse import Namespace
from io import StringIO
from pathlib import Path
import subprocess
import sys

from aiohttp import ClientSession
import pytest

from swiftpin.cli.__main__ import async_main
from swiftpin.cli.exit_status import ExitStatus
from swiftpin.cli.parser import build_parser
from swiftpin.exceptions import ConfigurationError
from swiftpin.gateway.__main__ import EXIT_SETTINGS
from swiftpin.gateway.settings_loader import load_settings
from swiftpin.security.tls_context import server_context
from tests.cli.conftest import PROFILE
from tests.gateway.test_settings import arguments
from tests.security.certificates import Certificates
from tests.security.test_store_access import SECRET, GuardedStore

HTTPS = {"--store-url": "https://127.0.0.1:1"}


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        (
            {"--listen-tls-cert": "/c"},
            "--listen-tls-cert '/c': --listen-tls-key is needed too",
        ),
        (
            {"--peer-tls-ca": "/a"},
            "--peer-tls-ca '/a': --peer-tls-cert is needed too",
        ),
        (
            {"--peer-tls-cert": "/c", "--peer-tls-key": "/k"},
            "--peer-tls-cert '/c': --peer-tls-ca is needed too",
        ),
        (
            {"--targets-tls-cert": "/c", "--targets-tls-key": "/k"},
            "--targets-tls-cert '/c': --targets-tls-ca is needed too",
        ),
        (
            {"--targets-tls-ca": "/a", "--targets-tls-key": "/k"},
            "--targets-tls-key '/k': --targets-tls-cert is needed too",
        ),
        (
            {**HTTPS, "--store-tls-ca": "/a", "--store-tls-key": "/k"},
            "--store-tls-key '/k': --store-tls-cert is needed too",
        ),
        (HTTPS, "--store-url 'https://127.0.0.1:1': --store-tls-ca is needed too"),
        (
            {"--store-tls-ca": "/a"},
            "--store-tls-ca '/a': --store-url must begin with https://",
        ),
    ],
)
def test_files_that_lack_others_are_named(
    changes: dict[str, str], message: str
) -> None:
    """The error says which flag is missing and which flag requires it."""
    with pytest.raises(ConfigurationError) as info:
        load_settings(arguments(changes), {})
    assert str(info.value) == message


def test_files_may_come_from_the_environment() -> None:
    """Each flag can also be set by an environment variable."""
    environment = {"SWIFTPIN_STORE_TOKEN_FILE": "/run/token"}
    settings = load_settings(arguments(), environment)
    assert settings.store_token_file == Path("/run/token")
    assert settings.peer_tls_ca is None


def test_broken_file_ends_the_start(own: Certificates, tmp_path: Path) -> None:
    """The daemon exits with one line of error and status 2."""
    token = tmp_path / "token"
    token.write_text(f"{SECRET} and more")
    peer = {
        "--peer-tls-cert": str(own.cert_path),
        "--peer-tls-key": str(own.ca_path),
        "--peer-tls-ca": str(own.ca_path),
    }
    for flag, changes in (
        ("--peer-tls-key", peer),
        ("--store-token-file", {"--store-token-file": str(token)}),
    ):
        process = subprocess.run(
            [sys.executable, "-m", "swiftpin.gateway", *arguments(changes)],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        assert process.returncode == EXIT_SETTINGS
        (line,) = process.stderr.splitlines()
        assert line.startswith(f"swiftpin-gateway: {flag} {changes[flag]!r}: ")
        assert SECRET not in process.stdout + process.stderr


def parse(own: Certificates, url: str, token: Path, *command: str) -> Namespace:
    """Return an operator's arguments; the environment sets the token file."""
    parser = build_parser({"SWIFTPIN_STORE_TOKEN_FILE": str(token)})
    flags = ["--store-url", url, "--store-tls-ca", str(own.ca_path)]
    flags += ["--store-tls-cert", str(own.cert_path)]
    flags += ["--store-tls-key", str(own.key_path)]
    return parser.parse_args([*flags, *command])


async def test_operator_writes_through_a_guarded_store(
    own: Certificates, tmp_path: Path
) -> None:
    """The command sends certificate and token, and reports when one is invalid."""
    store = GuardedStore()
    store.ssl_context = server_context(own.files, "http/1.1")
    await store.async_start()
    declarations = tmp_path / "profile.yaml"
    declarations.write_text(PROFILE)
    token = tmp_path / "token"
    for content, status in (
        (SECRET, ExitStatus.OK),
        ("wrong", ExitStatus.STORE_UNREACHABLE),
        ("no token", ExitStatus.WRONG_USE),
    ):
        token.write_text(content)
        args = parse(own, store.url, token, "apply", "-f", str(declarations))
        err = StringIO()
        assert await async_main(args, out=StringIO(), err=err) == status, err
        assert content not in err.getvalue()
    await store.async_stop()


async def test_operator_is_told_what_is_missing(
    own: Certificates, session: ClientSession, tmp_path: Path
) -> None:
    """A CA with an `http://` URL is refused before anything is sent."""
    token = tmp_path / "token"
    token.write_text(SECRET)
    args = parse(own, "http://127.0.0.1:1", token, "get")
    err = StringIO()
    status = await async_main(args, out=StringIO(), err=err)
    assert status == ExitStatus.WRONG_USE
    (line,) = err.getvalue().splitlines()
    assert line.endswith("--store-url must begin with https://")
