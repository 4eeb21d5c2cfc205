"""Making of TLS contexts.

Errors are in words of our own: those of the TLS library name neither the flag nor the
file, and nothing that a key file holds may reach a log.
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
"""Given for any key, since the library would otherwise ask at the terminal and wait."""


def client_context(files: TlsFiles) -> SSLContext:
    """Return a context for connections to servers of the CA.

    The server's certificate must also name the host that was asked for. Raises
    `ConfigurationError` that names flag and file.
    """
    context = SSLContext(PROTOCOL_TLS_CLIENT)
    context.minimum_version = TLSVersion.TLSv1_2
    _load_ca(context, files.ca)
    _load_own(context, files)
    return context


def server_context(files: TlsFiles, protocol: str) -> SSLContext:
    """Return a context for a port; with a CA, callers without its certificate fail.

    `protocol` is the ALPN name. Raises `ConfigurationError` that names flag and file.
    """
    context = SSLContext(PROTOCOL_TLS_SERVER)
    context.minimum_version = TLSVersion.TLSv1_2
    context.options |= OP_NO_RENEGOTIATION
    context.set_alpn_protocols([protocol])
    _load_own(context, files)
    if files.ca is not None:
        _demand_certificate(context, files.ca)
    return context


def _demand_certificate(context: SSLContext, ca: NamedFile) -> None:
    """Refuse callers without a certificate of the CA.

    A resumed session shows no certificate. With tickets an instance whose CA was
    taken out would go on getting in until its ticket ends, so there are none.
    """
    context.verify_mode = CERT_REQUIRED
    context.minimum_version = TLSVersion.TLSv1_3
    context.options |= OP_NO_TICKET
    context.num_tickets = 0
    _load_ca(context, ca)


def _load_ca(context: SSLContext, ca: NamedFile | None) -> None:
    """Trust the certificates of a file."""
    if ca is None:
        return
    ca.read()
    try:
        context.load_verify_locations(cafile=ca.path)
    except (SSLError, OSError) as err:
        raise ConfigurationError(f"{ca}: holds no PEM certificate") from err


def _load_own(context: SSLContext, files: TlsFiles) -> None:
    """Show a certificate of our own to the other side."""
    if files.cert is None or files.key is None:
        return
    _load_ca(SSLContext(PROTOCOL_TLS_SERVER), files.cert)
    files.key.read()
    try:
        context.load_cert_chain(files.cert.path, files.key.path, NO_PASSPHRASE)
    except (SSLError, OSError) as err:
        raise ConfigurationError(
            f"{files.key}: holds no PEM key without a passphrase that belongs to "
            f"{files.cert}"
        ) from err
