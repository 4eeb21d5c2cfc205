"""Certificates made for one test."""

from __future__ import annotations

import os
from pathlib import Path
from ssl import PROTOCOL_TLS_CLIENT, SSLContext

import trustme

from swiftpin.security.named_file import NamedFile
from swiftpin.security.tls_files import TlsFiles

HOST = "127.0.0.1"


class Certificates:
    """Files of one CA and of a certificate by it, which can be replaced."""

    def __init__(self, directory: Path) -> None:
        directory.mkdir()
        self.ca_path = directory / "ca.pem"
        self.cert_path = directory / "cert.pem"
        self.key_path = directory / "key.pem"
        self._authority = trustme.CA()
        self.replace()

    @property
    def files(self) -> TlsFiles:
        """Return all three files."""
        return TlsFiles(ca=self.ca, cert=self.cert, key=self.key)

    @property
    def ca(self) -> NamedFile:
        """Return the file of the CA."""
        return NamedFile(flag="--peer-tls-ca", path=self.ca_path)

    @property
    def cert(self) -> NamedFile:
        """Return the file of the certificate."""
        return NamedFile(flag="--peer-tls-cert", path=self.cert_path)

    @property
    def key(self) -> NamedFile:
        """Return the file of the key."""
        return NamedFile(flag="--peer-tls-key", path=self.key_path)

    def change_authority(self) -> None:
        """Replace the CA and everything by it."""
        self._authority = trustme.CA()
        self.replace()

    def replace(self, host: str = HOST) -> None:
        """Write a new certificate and key, each file by a rename."""
        made = self._authority.issue_cert(host)
        put(self.cert_path, made.cert_chain_pems[0].bytes())
        put(self.key_path, made.private_key_pem.bytes())
        put(self.ca_path, self._authority.cert_pem.bytes())

    def bare_client(self) -> SSLContext:
        """Return a context that trusts the CA and has no certificate to show."""
        context = SSLContext(PROTOCOL_TLS_CLIENT)
        context.load_verify_locations(cafile=self.ca_path)
        return context


def put(path: Path, content: bytes) -> None:
    """Put a file in place whole."""
    fresh = path.with_suffix(".new")
    fresh.write_bytes(content)
    os.replace(fresh, path)
