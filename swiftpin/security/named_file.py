"""A file that a setting names."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from swiftpin.exceptions import ConfigurationError


@dataclass(frozen=True, kw_only=True, slots=True)
class NamedFile:
    """A file and the flag that named it; its text is flag and path."""

    flag: str
    path: Path

    def __str__(self) -> str:
        return f"{self.flag} {str(self.path)!r}"

    def read(self) -> bytes:
        """Return the content; raise `ConfigurationError` when it can't be read."""
        try:
            return self.path.read_bytes()
        except OSError as err:
            raise ConfigurationError(f"{self}: {err.strerror or err}") from err

    def state(self) -> tuple[int, ...]:
        """Return what differs once the file has changed; empty when it is gone.

        The inode is part of it, since a file that is put in place by a rename or a
        changed link may be as old and as long as the one before.
        """
        try:
            found = self.path.stat()
        except OSError:
            return ()
        return (found.st_mtime_ns, found.st_size, found.st_ino)
