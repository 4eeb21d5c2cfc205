"""What the next write of a journal's head page will contain."""

from __future__ import annotations

from swiftpin.core import callback
from swiftpin.dispatch.archive_ref import ArchiveRef
from swiftpin.dispatch.final_line import FinalLine
from swiftpin.dispatch.page_codec import encode_head
from swiftpin.dispatch.page_header import PageHeader


class HeadPage:
    """Records of running requests, recent final ones, and references to the rest.

    Final records never change, so they may move to pages that are written once.
    Records of running requests stay in the head, where their outcome replaces them.
    """

    def __init__(self) -> None:
        self._running_lines_by_key: dict[str, bytes] = {}
        self._final_lines_by_key: dict[str, FinalLine] = {}
        self._final_bytes = 0
        self._archives: list[ArchiveRef] = []
        self._dropped: list[str] = []

    @property
    def final_bytes(self) -> int:
        """Return the size of the final records."""
        return self._final_bytes

    @callback
    def put_running(self, key: str, line: bytes) -> None:
        """Add the record of a running request."""
        self._running_lines_by_key[key] = line

    @callback
    def put_final(self, key: str, line: FinalLine) -> None:
        """Replace the record of a request by its final one."""
        self.drop(key)
        self._final_lines_by_key[key] = line
        self._final_bytes += len(line.line)

    @callback
    def drop(self, key: str) -> None:
        """Leave a record out from now on."""
        self._running_lines_by_key.pop(key, None)
        line = self._final_lines_by_key.pop(key, None)
        if line is not None:
            self._final_bytes -= len(line.line)

    @callback
    def oldest_finals(self, limit: int) -> dict[str, FinalLine]:
        """Return final records by key, oldest first, up to a size in bytes."""
        finals_by_key: dict[str, FinalLine] = {}
        size = 0
        for key, line in self._final_lines_by_key.items():
            size += len(line.line)
            if finals_by_key and size > limit:
                break
            finals_by_key[key] = line
        return finals_by_key

    @callback
    def archived(
        self,
        ref: ArchiveRef,
        moved_by_key: dict[str, FinalLine],
        *,
        replaced: ArchiveRef | None,
    ) -> None:
        """Refer to a written page in place of records, and of a page it contains."""
        if replaced is not None and replaced in self._archives:
            self._archives.remove(replaced)
            self._dropped.append(replaced.name)
        self._archives.append(ref)
        for key, line in moved_by_key.items():
            # Expired and begun anew while the page was being written: keep that one.
            if self._final_lines_by_key.get(key) is line:
                self.drop(key)

    @callback
    def set_archives(self, archives: tuple[ArchiveRef, ...]) -> None:
        """Refer to the pages of an opened journal, oldest first."""
        self._archives = list(archives)

    @callback
    def drop_expired_archives(self, before: int) -> None:
        """Refer no longer to pages whose newest record is older (wall ms)."""
        expired = [ref for ref in self._archives if ref.newest_at < before]
        for ref in expired:
            self._archives.remove(ref)
            self._dropped.append(ref.name)

    @callback
    def take_dropped(self) -> list[str]:
        """Return names of pages that the body refers to no longer, each once.

        They may be deleted once the body is known to be stored.
        """
        dropped, self._dropped = self._dropped, []
        return dropped

    @callback
    def body(self, term: int, holder: str, writer: str) -> bytes:
        """Return the body of the next write."""
        header = PageHeader(
            term=term, holder=holder, writer=writer, archives=tuple(self._archives)
        )
        lines = list(self._running_lines_by_key.values())
        lines.extend(final.line for final in self._final_lines_by_key.values())
        return encode_head(header, lines)
