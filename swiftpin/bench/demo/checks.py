"""Judgement of the demonstration's answers."""

from __future__ import annotations

from swiftpin.bench.demo.screen import Screen


class Checks:
    """Notes what was expected and whether it was so."""

    def __init__(self, screen: Screen) -> None:
        self._screen = screen
        self.failed: list[str] = []

    def expect(self, what: str, is_so: bool) -> None:
        """Note one expectation and show it."""
        self._screen.show(f"  {'right' if is_so else 'WRONG'}: {what}")
        if not is_so:
            self.failed.append(what)
