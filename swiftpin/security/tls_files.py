"""Files that one border's TLS is made of."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.security.named_file import NamedFile


@dataclass(frozen=True, kw_only=True, slots=True)
class TlsFiles:
    """PEM files; `ca` judges the other side, `cert` and `key` show who we are.

    `cert` and `key` come together, `cert` may hold intermediate certificates too.
    """

    ca: NamedFile | None = None
    cert: NamedFile | None = None
    key: NamedFile | None = None

    @property
    def configured_files(self) -> tuple[NamedFile, ...]:
        """Return the files that are given."""
        files = (self.ca, self.cert, self.key)
        return tuple(file for file in files if file is not None)
