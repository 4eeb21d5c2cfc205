"""Settings from flags and environment variables."""

from __future__ import annotations

from collections.abc import Mapping
import re
import subprocess
import sys

import pytest

from swiftpin.exceptions import ConfigurationError
from swiftpin.gateway.__main__ import EXIT_SETTINGS, main
from swiftpin.gateway.arguments import build_parser
from swiftpin.gateway.settings_loader import load_settings
from swiftpin.helpers.address import Address
from tests.gateway.scripted_server import ScriptedServer

BASE = {
    "--name": "g1",
    "--zone": "z1",
    "--listen": "127.0.0.1:0",
    "--peer-listen": "127.0.0.1:0",
    "--forward-listen": "127.0.0.1:0",
    "--admin-listen": "127.0.0.1:0",
    "--store-url": "http://127.0.0.1:1",
    "--instances-url": "http://127.0.0.1:1",
}


def arguments(changes: Mapping[str, str] = BASE) -> list[str]:
    """Return a command line of the needed flags with changes."""
    merged = {**BASE, **changes}
    return [word for pair in merged.items() for word in pair]


def test_flags_become_settings() -> None:
    """Flags are parsed into typed settings."""
    settings = load_settings(arguments({"--grant-ttl": "2.5"}), {})
    assert settings.listen == Address(host="127.0.0.1", port=0)
    assert (settings.name, settings.grant_ttl, settings.holder_limit) == (
        "g1",
        2.5,
        1.0,
    )


def test_flag_goes_before_variable() -> None:
    """An environment variable counts only where no flag was given."""
    environment = {"SWIFTPIN_ZONE": "z9", "SWIFTPIN_STOP_LIMIT": "30"}
    settings = load_settings(arguments(), environment)
    assert (settings.zone, settings.stop_limit) == ("z1", 30.0)


@pytest.mark.parametrize(
    ("flag", "value"),
    [
        ("--name", "a/b"),
        ("--zone", ""),
        ("--listen", "8080"),
        ("--listen", "127.0.0.1:http"),
        ("--listen", "127.0.0.1:70000"),
        ("--store-url", "ftp://store"),
        ("--instances-url", "127.0.0.1:1"),
        ("--log-level", "loud"),
        ("--log-sample", "1.5"),
        ("--log-sample", "nan"),
        ("--holder-limit", "0"),
        ("--holder-limit", "inf"),
        ("--stop-limit", "ten"),
        ("--request-limit", "0"),
    ],
)
def test_wrong_value_is_named(flag: str, value: str) -> None:
    """The error names the flag and the value on one line."""
    with pytest.raises(ConfigurationError) as info:
        load_settings(arguments({flag: value}), {})
    message = str(info.value)
    assert message.startswith(f"{flag} {value!r}: ")
    assert "\n" not in message


def test_wrong_variable_is_named() -> None:
    """A wrong environment variable is named as such."""
    with pytest.raises(ConfigurationError, match="SWIFTPIN_GRANT_TTL 'x': "):
        load_settings(arguments(), {"SWIFTPIN_GRANT_TTL": "x"})


@pytest.mark.parametrize("missing", list(BASE))
def test_missing_flag_is_named(missing: str) -> None:
    """The error names the flag and the variable that would do."""
    given = [word for pair in BASE.items() if pair[0] != missing for word in pair]
    variable = "SWIFTPIN_" + missing[2:].replace("-", "_").upper()
    with pytest.raises(ConfigurationError, match=f"{missing} .*{variable}"):
        load_settings(given, {})


@pytest.mark.parametrize(
    "changes",
    [{"--heartbeat-interval": "1.0"}, {"--grant-interval": "2", "--grant-ttl": "2"}],
)
def test_limits_that_contradict_each_other_are_refused(
    changes: Mapping[str, str],
) -> None:
    """A limit that runs out between two messages would end every lease."""
    with pytest.raises(ConfigurationError, match="must be below"):
        load_settings(arguments(changes), {})


def test_unknown_flag_ends_the_start(capsys: pytest.CaptureFixture[str]) -> None:
    """A wrong command line gives one line and exit status 2."""
    assert main([*arguments(), "--colour", "red"]) == EXIT_SETTINGS
    assert capsys.readouterr().err.splitlines() == [
        "swiftpin-gateway: unrecognized arguments: --colour red"
    ]


async def test_port_in_use_ends_the_start() -> None:
    """A port that is taken gives one line that names its flag, and status 2."""
    server = ScriptedServer()
    await server.async_setup()
    command = [sys.executable, "-m", "swiftpin.gateway"]
    for flag in ("--listen", "--admin-listen", "--forward-listen", "--peer-listen"):
        done = subprocess.run(  # noqa: ASYNC221 - nothing else runs in this test
            [*command, *arguments({flag: server.address})],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        assert done.returncode == EXIT_SETTINGS
        (line,) = done.stderr.splitlines()
        assert line.startswith(f"swiftpin-gateway: {flag} {server.address!r}: ")
    await server.async_unload()


def test_help_names_every_setting(capsys: pytest.CaptureFixture[str]) -> None:
    """`--help` ends with status 0 and shows each flag with its meaning."""
    with pytest.raises(SystemExit) as info:
        main(["--help"])
    assert info.value.code == 0
    text = capsys.readouterr().out
    for action in build_parser()._actions:
        assert action.option_strings[-1] in text
        assert action.help
    assert re.search(r"SWIFTPIN_PEER_LISTEN", text)
