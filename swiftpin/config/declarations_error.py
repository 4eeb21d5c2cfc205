"""Error that collects all mistakes of the files of one run."""

from __future__ import annotations

from collections.abc import Iterable

from swiftpin.config.declaration_problem import DeclarationProblem
from swiftpin.exceptions import ConfigurationError


class DeclarationsError(ConfigurationError):
    """Declaration files are wrong; `problems` are sorted by place, one line each."""

    def __init__(self, problems: Iterable[DeclarationProblem]) -> None:
        self.problems = tuple(sorted(problems, key=lambda item: item.place))
        super().__init__("\n".join(str(problem) for problem in self.problems))
