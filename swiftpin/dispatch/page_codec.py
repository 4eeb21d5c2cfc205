"""Stored form of a journal's pages."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Iterable

import orjson
from pydantic import BaseModel, ValidationError

from swiftpin.dispatch.answered import Answered
from swiftpin.dispatch.archive_ref import ArchiveRef
from swiftpin.dispatch.exceptions import PageCorruptError
from swiftpin.dispatch.journal_record import JournalRecord
from swiftpin.dispatch.page_header import PageHeader
from swiftpin.dispatch.unknown import Unknown

_STATE_RUNNING = "running"
_STATE_ANSWERED = "answered"
_STATE_UNKNOWN = "unknown"


class _AnswerModel(BaseModel):
    status: int
    headers: list[tuple[str, str]]
    body: str | None
    digest: str
    length: int


class _RecordModel(BaseModel):
    key: str
    fingerprint: str
    request_id: str
    changed_at: int
    state: str
    answer: _AnswerModel | None = None


class _ArchiveModel(BaseModel):
    name: str
    newest_at: int


class _HeaderModel(BaseModel):
    term: int
    holder: str
    writer: str
    archives: list[_ArchiveModel]


class _HeadModel(BaseModel):
    header: _HeaderModel
    records: list[_RecordModel]


class _ArchivePageModel(BaseModel):
    records: list[_RecordModel]


def encode_record(record: JournalRecord) -> bytes:
    """Return the record's stored form.

    Records are encoded once and pages are joined from their stored forms, since a
    page is written again with each batch.
    """
    document: dict[str, object] = {
        "key": record.key,
        "fingerprint": record.fingerprint,
        "request_id": record.request_id,
        "changed_at": record.changed_at,
    }
    match record.outcome:
        case None:
            document["state"] = _STATE_RUNNING
        case Unknown():
            document["state"] = _STATE_UNKNOWN
        case Answered() as answer:
            document["state"] = _STATE_ANSWERED
            document["answer"] = _answer_document(answer)
    return orjson.dumps(document)


def encode_head(header: PageHeader, records: Iterable[bytes]) -> bytes:
    """Return the body of a head page from the stored forms of its records."""
    document = orjson.dumps(
        {
            "term": header.term,
            "holder": header.holder,
            "writer": header.writer,
            "archives": [
                {"name": archive.name, "newest_at": archive.newest_at}
                for archive in header.archives
            ],
        }
    )
    return b'{"header":' + document + b',"records":[' + b",".join(records) + b"]}"


def encode_archive(records: Iterable[bytes]) -> bytes:
    """Return the body of a page of final records."""
    return b'{"records":[' + b",".join(records) + b"]}"


def decode_head(body: bytes) -> tuple[PageHeader, list[JournalRecord]]:
    """Return header and records; raise `PageCorruptError`."""
    try:
        model = _HeadModel.model_validate_json(body)
    except ValidationError as err:
        raise PageCorruptError(f"journal head page: {err}") from err
    header = PageHeader(
        term=model.header.term,
        holder=model.header.holder,
        writer=model.header.writer,
        archives=tuple(
            ArchiveRef(name=archive.name, newest_at=archive.newest_at)
            for archive in model.header.archives
        ),
    )
    return header, [_record(record) for record in model.records]


def decode_archive(body: bytes) -> list[JournalRecord]:
    """Return the records of a page; raise `PageCorruptError`."""
    try:
        model = _ArchivePageModel.model_validate_json(body)
    except ValidationError as err:
        raise PageCorruptError(f"journal page: {err}") from err
    return [_record(record) for record in model.records]


def writer_of(body: bytes) -> str | None:
    """Return the writer of a head page, None when it is not one."""
    try:
        return decode_head(body)[0].writer
    except PageCorruptError:
        return None


def _answer_document(answer: Answered) -> dict[str, object]:
    """Return the JSON document of an answer."""
    return {
        "status": answer.status,
        "headers": [
            (_valid_text(name), _valid_text(value)) for name, value in answer.headers
        ],
        "body": None if answer.body is None else b64encode(answer.body).decode(),
        "digest": answer.body_digest,
        "length": answer.body_length,
    }


def _valid_text(text: str) -> str:
    """Return the text without what UTF-8 cannot hold, such as undecodable bytes.

    A target's odd header must not make its answer impossible to record.
    """
    return text.encode(errors="replace").decode()


def _record(model: _RecordModel) -> JournalRecord:
    """Return the record that a validated model describes."""
    return JournalRecord(
        key=model.key,
        fingerprint=model.fingerprint,
        request_id=model.request_id,
        changed_at=model.changed_at,
        outcome=_outcome(model),
    )


def _outcome(model: _RecordModel) -> Answered | Unknown | None:
    """Return the outcome that a validated model describes."""
    if model.state == _STATE_RUNNING:
        return None
    if model.state != _STATE_ANSWERED or model.answer is None:
        return Unknown()
    answer = model.answer
    return Answered(
        status=answer.status,
        headers=tuple(answer.headers),
        body=None if answer.body is None else b64decode(answer.body),
        body_digest=answer.digest,
        body_length=answer.length,
    )
