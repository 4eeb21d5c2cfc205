"""Creation of TLS contexts.

Errors don't include the TLS library's message: it names neither the flag nor the file,
and the content of a key file must never reach a log.
"""

from __future__ import annotations

from ssl import (
    CERT_REQUIRED,
    OP_NO_RENEGOTIATION,
    OP_NO_TICKET,
    PROTOCOL_TLS_CLIENT,
    PROTOCOL_TLS_SERVER,
    SSLContext,
    SSLError,
    TLSVersion,
)
from typing import Final

from swiftpin.exceptions import ConfigurationError
from swiftpin.security.named_file import NamedFile
from swiftpin.security.tls_files import TlsFiles

NO_PASSPHRASE: Final = ""
"""Passed for every key; without it, the library would prompt at the terminal."""


def client_context(files: TlsFiles) -> SSLContext:
    """Return a context for connections to servers with a certificate of the CA.

    The server's certificate must also match the host name. Raises
    `ConfigurationError` with flag and file.
    """
    context = SSLContext(PROTOCOL_TLS_CLIENT)
    context.minimum_version = TLSVersion.TLSv1_2
    _load_ca(context, files.ca)
    _load_certificate(context, files)
    return context


def server_context(files: TlsFiles, protocol: str) -> SSLContext:
    """Return a context for a port; a CA makes client certificates mandatory.

    `protocol` is the ALPN name. Raises `ConfigurationError` with flag and file.
    """
    context = SSLContext(PROTOCOL_TLS_SERVER)
    context.minimum_version = TLSVersion.TLSv1_2
    context.options |= OP_NO_RENEGOTIATION
    context.set_alpn_protocols([protocol])
    _load_certificate(context, files)
    if files.ca is not None:
        _require_client_certificate(context, files.ca)
    return context


def _require_client_certificate(context: SSLContext, ca: NamedFile) -> None:
    """Reject clients without a certificate of the CA.

    A resumed session presents no certificate. With session tickets, an instance whose
    CA was removed could connect until its ticket expires, so tickets are disabled.
    """
    context.verify_mode = CERT_REQUIRED
    context.minimum_version = TLSVersion.TLSv1_3
    context.options |= OP_NO_TICKET
    context.num_tickets = 0
    _load_ca(context, ca)


def _load_ca(context: SSLContext, ca: NamedFile | None) -> None:
    """Trust the CA certificates in a file."""
    if ca is None:
        return
    ca.read()
    try:
        context.load_verify_locations(cafile=ca.path)
    except (SSLError, OSError) as err:
        raise ConfigurationError(f"{ca}: contains no PEM certificate") from err


def _load_certificate(context: SSLContext, files: TlsFiles) -> None:
    """Load the certificate and key to present to the other side."""
    if files.cert is None or files.key is None:
        return
    _load_ca(SSLContext(PROTOCOL_TLS_SERVER), files.cert)
    files.key.read()
    try:
        context.load_cert_chain(files.cert.path, files.key.path, NO_PASSPHRASE)
    except (SSLError, OSError) as err:
        raise ConfigurationError(
            f"{files.key}: contains no PEM key without a passphrase that matches "
            f"{files.cert}"
        ) from err
