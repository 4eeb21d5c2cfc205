"""Certificates generated for a test."""

from __future__ import annotations

import os
from pathlib import Path
from ssl import PROTOCOL_TLS_CLIENT, SSLContext

import trustme

from swiftpin.security.named_file import NamedFile
from swiftpin.security.tls_files import TlsFiles

HOST = "127.0.0.1"


class Certificates:
    """Replaceable files of a CA and of a certificate issued by it."""

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
        """Return the CA's file."""
        return NamedFile(flag="--peer-tls-ca", path=self.ca_path)

    @property
    def cert(self) -> NamedFile:
        """Return the certificate's file."""
        return NamedFile(flag="--peer-tls-cert", path=self.cert_path)

    @property
    def key(self) -> NamedFile:
        """Return the key's file."""
        return NamedFile(flag="--peer-tls-key", path=self.key_path)

    def change_authority(self) -> None:
        """Replace the CA and the certificate issued by it."""
        self._authority = trustme.CA()
        self.replace()

    def replace(self, host: str = HOST) -> None:
        """Issue a new certificate and key, and replace each file atomically."""
        issued = self._authority.issue_cert(host)
        replace_file(self.cert_path, issued.cert_chain_pems[0].bytes())
        replace_file(self.key_path, issued.private_key_pem.bytes())
        replace_file(self.ca_path, self._authority.cert_pem.bytes())

    def context_without_certificate(self) -> SSLContext:
        """Return a context that trusts the CA and has no client certificate."""
        context = SSLContext(PROTOCOL_TLS_CLIENT)
        context.load_verify_locations(cafile=self.ca_path)
        return context


def replace_file(path: Path, content: bytes) -> None:
    """Replace a file atomically."""
    new_path = path.with_suffix(".new")
    new_path.write_bytes(content)
    os.replace(new_path, path)
