"""What a command works with."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property
from pathlib import Path
from typing import Final, TextIO

from aiohttp import ClientSession

from swiftpin.cli.instances_client import InstancesClient
from swiftpin.cli.usage_error import UsageError
from swiftpin.config.repository import ConfigRepository
from swiftpin.security.store_files import check_store_files, load_store_access
from swiftpin.store.client import StoreClient

STORE_TIMEOUT: Final = 3.0
"""Seconds that one call of the store may take; operators wait longer than daemons."""


@dataclass(kw_only=True)
class Context:
    """Session, addresses and streams of one run.

    `author` names the operator in what is written. Clients are made when they are
    asked for, since some commands need none; an absent address raises `UsageError`,
    a wrong file of certificates or the token `ConfigurationError`.
    """

    session: ClientSession
    out: TextIO
    err: TextIO
    author: str
    store_url: str | None = None
    instances_url: str | None = None
    store_tls_ca: Path | None = None
    store_tls_cert: Path | None = None
    store_tls_key: Path | None = None
    store_token_file: Path | None = None

    @cached_property
    def store(self) -> StoreClient:
        """Return the client of the store."""
        if not self.store_url:
            raise UsageError("--store-url or SWIFTPIN_STORE_URL is needed")
        ca, cert, key = self.store_tls_ca, self.store_tls_cert, self.store_tls_key
        try:
            check_store_files(self.store_url, ca=ca, cert=cert, key=key)
        except ValueError as err:
            raise UsageError(str(err)) from err
        return StoreClient(
            self.session,
            self.store_url,
            timeout=STORE_TIMEOUT,
            access=load_store_access(
                ca=ca, cert=cert, key=key, token=self.store_token_file
            ),
        )

    @cached_property
    def repository(self) -> ConfigRepository:
        """Return the declarations in the store."""
        return ConfigRepository(self.store)

    @cached_property
    def instances(self) -> InstancesClient:
        """Return the client of the instances."""
        if not self.instances_url:
            raise UsageError("--instances-url or SWIFTPIN_INSTANCES_URL is needed")
        return InstancesClient(self.session, self.instances_url)

    def note(self, text: str) -> None:
        """Print one line to the error stream."""
        print(f"swiftpin: {text}", file=self.err)
