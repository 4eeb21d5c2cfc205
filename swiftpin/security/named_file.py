"""A file whose path comes from a setting."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from swiftpin.exceptions import ConfigurationError


@dataclass(frozen=True, kw_only=True, slots=True)
class NamedFile:
    """A file and the flag that sets its path; error messages show both."""

    flag: str
    path: Path

    def __str__(self) -> str:
        return f"{self.flag} {str(self.path)!r}"

    def read(self) -> bytes:
        """Return the content; raise `ConfigurationError` if it can't be read."""
        try:
            return self.path.read_bytes()
        except OSError as err:
            raise ConfigurationError(f"{self}: {err.strerror or err}") from err

    def state(self) -> tuple[int, ...]:
        """Return a value that changes with the file; empty if it does not exist.

        The inode is included because a file that is replaced by a rename or a
        changed link may have the modification time and size of its predecessor.
        """
        try:
            status = self.path.stat()
        except OSError:
            return ()
        return (status.st_mtime_ns, status.st_size, status.st_ino)
