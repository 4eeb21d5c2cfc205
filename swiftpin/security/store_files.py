"""Certificate and token files for access to the store."""

from __future__ import annotations

from pathlib import Path
from typing import Final

from swiftpin.security.bearer_token import BearerToken
from swiftpin.security.client_tls import ClientTls
from swiftpin.security.file_rules import check_all_or_none, check_ca_present, named_file
from swiftpin.security.store_access import StoreAccess
from swiftpin.security.tls_files import TlsFiles

FLAG_STORE_CA: Final = "--store-tls-ca"
FLAG_STORE_CERT: Final = "--store-tls-cert"
FLAG_STORE_KEY: Final = "--store-tls-key"
FLAG_STORE_TOKEN: Final = "--store-token-file"


def load_store_access(
    *, ca: Path | None, cert: Path | None, key: Path | None, token: Path | None
) -> StoreAccess:
    """Load the files; raise `ConfigurationError` if one is invalid."""
    files = TlsFiles(
        ca=named_file(FLAG_STORE_CA, ca),
        cert=named_file(FLAG_STORE_CERT, cert),
        key=named_file(FLAG_STORE_KEY, key),
    )
    token_file = named_file(FLAG_STORE_TOKEN, token)
    return StoreAccess(
        tls=None if files.ca is None else ClientTls(files),
        token=None if token_file is None else BearerToken(token_file),
    )


def check_store_files(
    url: str, *, ca: Path | None, cert: Path | None, key: Path | None
) -> None:
    """Raise `ValueError` if the files don't fit each other or the URL.

    A CA with an `http://` URL would give the impression that calls are protected.
    """
    check_all_or_none((FLAG_STORE_CERT, cert), (FLAG_STORE_KEY, key))
    check_ca_present((FLAG_STORE_CERT, cert), (FLAG_STORE_CA, ca))
    is_secure = url.startswith("https://")
    if is_secure and ca is None:
        raise ValueError(f"--store-url {url!r}: {FLAG_STORE_CA} is needed too")
    if ca is not None and not is_secure:
        raise ValueError(
            f"{FLAG_STORE_CA} {str(ca)!r}: --store-url must begin with https://"
        )
