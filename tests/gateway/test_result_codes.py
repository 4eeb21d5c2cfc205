"""The table of result codes and the code agree."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from swiftpin.dispatch import exceptions as dispatch_exceptions
from swiftpin.exceptions import RequestError
from swiftpin.result import Executed, ResultCode, executed_by_result

PAGE = Path(__file__).parents[2] / "docs" / "result-codes.md"
LOADED = dispatch_exceptions
"""Imported so that its errors are among the subclasses."""

ANSWERED_BY_TARGETS = {ResultCode.ANSWERED, ResultCode.REPLAYED}


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """One row of the table."""

    code: int
    name: str
    statuses: list[str]
    executed: str
    meaning: str
    advice: str


def rows() -> list[Row]:
    """Return the table of the page."""
    found = []
    for line in PAGE.read_text().splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if len(cells) != 6 or not cells[0].isdigit():
            continue
        found.append(
            Row(
                code=int(cells[0]),
                name=cells[1],
                statuses=cells[2].split(", "),
                executed=cells[3],
                meaning=cells[4],
                advice=cells[5],
            )
        )
    return found


def errors(base: type[RequestError] = RequestError) -> Iterator[type[RequestError]]:
    """Give every error that ends a request, and its base."""
    yield base
    for error in base.__subclasses__():
        yield from errors(error)


def test_every_code_has_one_row_in_order() -> None:
    """The page lists exactly the codes there are."""
    assert [(row.code, row.name) for row in rows()] == [
        (code.value, code.name) for code in sorted(ResultCode)
    ]


def test_every_row_tells_what_to_do() -> None:
    """No cell of the page is empty."""
    assert all(row.meaning and row.advice for row in rows())


def test_status_and_execution_are_those_of_the_errors() -> None:
    """The page states the HTTP status and the execution that the errors have."""
    rows_by_code = {row.code: row for row in rows()}
    for error in errors():
        row = rows_by_code[error.code]
        if error.code is ResultCode.INTERNAL and error is not RequestError:
            # A base class that has no code of its own and is never raised.
            assert error.__subclasses__()
            continue
        assert str(error.status) in row.statuses, error
        assert error.executed.value == row.executed, error


def test_every_code_but_the_targets_own_has_an_error() -> None:
    """No code is documented that nothing can give."""
    given = {error.code for error in errors()}
    assert set(ResultCode) - given == ANSWERED_BY_TARGETS


def test_code_alone_never_claims_too_much() -> None:
    """What a code says of the execution is what its errors say, or "unknown"."""
    for error in errors():
        said = executed_by_result(error.code.value)
        assert said in (error.executed, Executed.UNKNOWN)
