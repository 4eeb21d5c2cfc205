"""Files that are wrong at the start."""

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
    """Assert that client and server name flag and file, and no more of the key."""
    secret = path.read_text().splitlines()[1:2] if path.is_file() else []
    for make in (client_context, lambda files: server_context(files, "h2")):
        with pytest.raises(ConfigurationError) as info:
            make(own.files)
        message = str(info.value)
        assert message.startswith(f"{flag} {str(path)!r}: ")
        assert "\n" not in message
        assert not any(line in message for line in secret)


@pytest.mark.parametrize("name", ["ca", "cert", "key"])
def test_file_that_is_not_there_is_named(own: Certificates, name: str) -> None:
    """A path that leads nowhere is told as such."""
    path: Path = getattr(own, f"{name}_path")
    path.unlink()
    check_refused(own, path, f"--peer-tls-{name}")


@pytest.mark.parametrize("name", ["ca", "cert", "key"])
@pytest.mark.parametrize("content", ["", "nonsense\nsecond line\n"])
def test_file_of_something_else_is_named(
    own: Certificates, name: str, content: str
) -> None:
    """What is no PEM is refused."""
    path: Path = getattr(own, f"{name}_path")
    path.write_text(content)
    check_refused(own, path, f"--peer-tls-{name}")


def test_directory_is_named(own: Certificates) -> None:
    """A directory can't be read."""
    own.ca_path.unlink()
    own.ca_path.mkdir()
    check_refused(own, own.ca_path, "--peer-tls-ca")


def test_key_of_another_certificate_is_refused(
    own: Certificates, other: Certificates
) -> None:
    """Certificate and key must belong together."""
    own.key_path.write_bytes(other.key_path.read_bytes())
    check_refused(own, own.key_path, "--peer-tls-key")


def test_key_with_a_passphrase_is_refused_without_asking(own: Certificates) -> None:
    """Symptom: a daemon hangs at its start, waiting at a terminal nobody looks at."""
    key = load_pem_private_key(own.key_path.read_bytes(), None)
    own.key_path.write_bytes(
        key.private_bytes(
            Encoding.PEM, PrivateFormat.PKCS8, BestAvailableEncryption(b"secret")
        )
    )
    check_refused(own, own.key_path, "--peer-tls-key")
