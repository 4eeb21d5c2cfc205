"""Tests for invalid certificate and key files."""

from __future__ import annotations

from pathlib import Path

from cryptography.hazmat.primitives.serialization import (
    BestAvailableEncryption,
    Encoding,
    PrivateFormat,
    load_pem_private_key,
)
import pytest

from swiftpin.exceptions import ConfigurationError
from swiftpin.security.tls_context import client_context, server_context
from tests.security.certificates import Certificates


def check_refused(own: Certificates, path: Path, flag: str) -> None:
    """Assert that the errors contain flag and path but nothing of the content."""
    secret_lines = path.read_text().splitlines()[1:2] if path.is_file() else []
    for create_context in (client_context, lambda files: server_context(files, "h2")):
        with pytest.raises(ConfigurationError) as info:
            create_context(own.files)
        message = str(info.value)
        assert message.startswith(f"{flag} {str(path)!r}: ")
        assert "\n" not in message
        assert not any(line in message for line in secret_lines)


@pytest.mark.parametrize("name", ["ca", "cert", "key"])
def test_file_that_is_not_there_is_named(own: Certificates, name: str) -> None:
    """The error for a missing file contains flag and path."""
    path: Path = getattr(own, f"{name}_path")
    path.unlink()
    check_refused(own, path, f"--peer-tls-{name}")


@pytest.mark.parametrize("name", ["ca", "cert", "key"])
@pytest.mark.parametrize("content", ["", "nonsense\nsecond line\n"])
def test_file_of_something_else_is_named(
    own: Certificates, name: str, content: str
) -> None:
    """A file that is not PEM is refused."""
    path: Path = getattr(own, f"{name}_path")
    path.write_text(content)
    check_refused(own, path, f"--peer-tls-{name}")


def test_directory_is_named(own: Certificates) -> None:
    """A directory in place of a file is refused."""
    own.ca_path.unlink()
    own.ca_path.mkdir()
    check_refused(own, own.ca_path, "--peer-tls-ca")


def test_key_of_another_certificate_is_refused(
    own: Certificates, other: Certificates
) -> None:
    """The key must match the certificate."""
    own.key_path.write_bytes(other.key_path.read_bytes())
    check_refused(own, own.key_path, "--peer-tls-key")


def test_key_with_a_passphrase_is_refused_without_asking(own: Certificates) -> None:
    """Guards against a start that hangs at a passphrase prompt."""
    key = load_pem_private_key(own.key_path.read_bytes(), None)
    own.key_path.write_bytes(
        key.private_bytes(
            Encoding.PEM, PrivateFormat.PKCS8, BestAvailableEncryption(b"secret")
        )
    )
    check_refused(own, own.key_path, "--peer-tls-key")
