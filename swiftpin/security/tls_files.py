"""PEM files of one TLS configuration."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.security.named_file import NamedFile


@dataclass(frozen=True, kw_only=True, slots=True)
class TlsFiles:
    """PEM files: `ca` verifies the other side, `cert` and `key` are presented to it.

    `cert` and `key` are set together; `cert` may contain intermediate certificates too.
    """

    ca: NamedFile | None = None
    cert: NamedFile | None = None
    key: NamedFile | None = None

    @property
    def configured_files(self) -> tuple[NamedFile, ...]:
        """Return the files that are configured."""
        files = (self.ca, self.cert, self.key)
        return tuple(file for file in files if file is not None)
