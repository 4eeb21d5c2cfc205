"""Tests for files that change while an instance runs."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from swiftpin.exceptions import ConfigurationError
from swiftpin.security import reloader as reloader_module
from swiftpin.security.bearer_token import BearerToken
from swiftpin.security.client_tls import ClientTls
from swiftpin.security.named_file import NamedFile
from swiftpin.security.reloader import Reloader
from tests.gateway.test_app import async_until
from tests.security.certificates import Certificates, replace_file
from tests.security.conftest import Messages


@pytest.fixture
def token_path(tmp_path: Path) -> Path:
    """Return a file with a token."""
    path = tmp_path / "token"
    path.write_text("first\n")
    return path


def make_token(path: Path) -> BearerToken:
    """Return the token from a file."""
    return BearerToken(NamedFile(flag="--store-token-file", path=path))


async def test_changed_token_is_read(token_path: Path, messages: Messages) -> None:
    """A replaced token is loaded, and its content is never logged."""
    token = make_token(token_path)
    assert token.value == "first"
    replace_file(token_path, b"next1\n")
    await token.async_refresh()
    assert token.value == "next1"
    assert [item["message_type"] for item in messages] == ["credentials_reloaded"]
    assert "next1" not in str(messages)


async def test_unchanged_file_is_not_read(token_path: Path) -> None:
    """The value is not reloaded while the files are unchanged."""
    token = make_token(token_path)
    old_value = token.value
    await token.async_refresh()
    assert token.value is old_value


@pytest.mark.parametrize("content", [b"", b" \n", b"two lines\nhere", b"caf\xc3\xa9"])
async def test_broken_token_keeps_the_old_one(
    token_path: Path, messages: Messages, content: bytes
) -> None:
    """An invalid token is logged once, without its content."""
    token = make_token(token_path)
    replace_file(token_path, content)
    await token.async_refresh()
    await token.async_refresh()
    assert token.value == "first"
    (message,) = messages
    assert (message["message_type"], message["level"]) == ("credentials_kept", "error")
    assert str(token_path) in str(message["error"])
    assert "here" not in str(message)


def test_broken_token_ends_the_start(token_path: Path) -> None:
    """The error contains the path of the file but not its content."""
    token_path.write_text("se cret")
    with pytest.raises(ConfigurationError) as info:
        make_token(token_path)
    assert str(info.value).startswith(f"--store-token-file {str(token_path)!r}: ")
    assert "cret" not in str(info.value)


async def test_missing_file_keeps_the_old_one(
    token_path: Path, messages: Messages
) -> None:
    """The value is kept while its file is missing and reloaded when it is back."""
    token = make_token(token_path)
    os.unlink(token_path)
    await token.async_refresh()
    assert token.value == "first"
    replace_file(token_path, b"second")
    await token.async_refresh()
    assert token.value == "second"


async def test_half_replaced_pair_is_read_once_it_matches(
    own: Certificates, messages: Messages
) -> None:
    """Guards against a rotated certificate that is never loaded.

    The files are checked after the certificate was replaced but before its key was;
    the pair does not match and the old one is kept. The replaced key must then be
    detected as another change.
    """
    tls = ClientTls(own.files)
    old_value = tls.context
    old_key = own.key_path.read_bytes()
    own.replace()
    new_key = own.key_path.read_bytes()
    replace_file(own.key_path, old_key)
    await tls.async_refresh()
    assert tls.context is old_value
    replace_file(own.key_path, new_key)
    await tls.async_refresh()
    assert tls.context is not old_value
    message_types = [item["message_type"] for item in messages]
    assert message_types == ["credentials_kept", "credentials_reloaded"]
    assert new_key.splitlines()[1].decode() not in str(messages)


async def test_files_are_looked_at_again_and_again(
    token_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A running reloader detects changes on its own."""
    monkeypatch.setattr(reloader_module, "RELOAD_INTERVAL", 0.001)
    token = make_token(token_path)
    reloader = Reloader([token])
    reloader.setup()

    async def async_is_read() -> bool:
        return token.value == "second"

    replace_file(token_path, b"second")
    await async_until(async_is_read)
    await reloader.async_unload()
