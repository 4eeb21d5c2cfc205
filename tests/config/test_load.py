"""Tests of loading declaration files."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from textwrap import dedent

import pytest

from swiftpin.config.convert import profile_from_model
from swiftpin.config.declarations_error import DeclarationsError
from swiftpin.config.key_rule import PathKeyRule
from swiftpin.config.load import load_declarations
from swiftpin.config.models.declaration_models import ProfileModel

WriteFile = Callable[[str, str], Path]

SERVICE = """\
apiVersion: swiftpin/v1
kind: Service
metadata:
  name: desk
spec:
  profile: bookings
  keyed: true
  groups: 1
  targets:
  - {id: desk-1, address: "127.0.0.1:18101", zone: a}
"""


@pytest.fixture
def write_file(tmp_path: Path) -> WriteFile:
    """Return a writer of files in the test's directory."""

    def write(name: str, text: str) -> Path:
        path = tmp_path / name
        path.write_text(dedent(text), encoding="utf-8")
        return path

    return write


def messages_of(path: Path) -> list[str]:
    """Return the errors of a file or directory, without the directory's name."""
    with pytest.raises(DeclarationsError) as caught:
        load_declarations([path])
    directory = path if path.is_dir() else path.parent
    return [str(item).replace(f"{directory}/", "") for item in caught.value.problems]


def test_loads_several_documents(write_file: WriteFile) -> None:
    """Documents of one file come in their order, empty ones are passed."""
    text = f"---\n---\n{SERVICE}---\n{SERVICE.replace('desk', 'vault')}"
    path = write_file("a.yaml", text)
    labels = [item.id.label for item in load_declarations([path])]
    assert labels == ["service/desk", "service/vault"]


def test_profile_becomes_a_data_class(write_file: WriteFile) -> None:
    """All parts of a profile reach the data class."""
    path = write_file(
        "a.yaml",
        """\
        apiVersion: swiftpin/v1
        kind: Profile
        metadata: {name: bookings}
        spec:
          key_rule: {source: path, segment: 1}
          classes:
          - {name: book, methods: [POST], path: /b/*, priority: 0, repeatable: false}
          default_timeout: 3
          weights: {churn: 5}
        """,
    )
    model = load_declarations([path])[0].model
    assert isinstance(model, ProfileModel)
    profile = profile_from_model(model)
    assert profile.key_rule == PathKeyRule(segment=1)
    assert profile.classes[0].methods == frozenset({"POST"})
    assert profile.default_timeout == 3.0
    assert profile.weights.churn == 5.0


def test_all_errors_of_a_run_come_together(write_file: WriteFile) -> None:
    """Every mistake of every file is named with its line and field."""
    write_file("a.yaml", SERVICE.replace("profile:", "profle:"))
    write_file("b.yml", SERVICE.replace("zone: a", "zone: no, slots: 0"))
    write_file("c.yaml", "kind: Servce\n")
    path = write_file("d.yaml", "kind: [unclosed\n")
    assert messages_of(path.parent) == [
        "a.yaml:6: spec.profle: unknown field; did you mean profile?",
        "b.yml:10: spec.targets.0.zone: input should be a valid string, not False",
        "b.yml:10: spec.targets.0.slots: input should be greater than or equal to 1,"
        " not 0",
        "c.yaml:1: kind: should be one of Service, Profile, PlannedStop, not 'Servce'"
        "; did you mean Service?",
        "d.yaml:2: no YAML: expected ',' or ']', but got '<stream end>'",
    ]


@pytest.mark.parametrize(
    ("before", "after", "message"),
    [
        ("  keyed: true\n", "", "a.yaml:5: spec.keyed: is required"),
        (
            "zone: a}",
            "zone: a, slot: 1}",
            "a.yaml:10: spec.targets.0.slot: unknown field; did you mean slots?",
        ),
        (
            "groups: 1",
            "groups: 2",
            "a.yaml:8: spec.groups: 2 groups need as many targets and slices,"
            " there are 1 and 4096",
        ),
        (
            "127.0.0.1:18101",
            "localhost:18101",
            "a.yaml:10: spec.targets.0.address: 'localhost' is no IP number,"
            " not 'localhost:18101'",
        ),
        (
            "  keyed: true",
            "  keyed: true\n  keyed: false",
            "a.yaml:8: keyed: stands in line 7 already",
        ),
        ("metadata:", "metadata: [", "a.yaml:5: no YAML: "),
        ("swiftpin/v1", "2024-13-45", "a.yaml:1: no YAML: month must be in 1..12"),
    ],
)
def test_error_names_line_and_field(
    write_file: WriteFile, before: str, after: str, message: str
) -> None:
    """The operator finds the mistake without searching."""
    path = write_file("a.yaml", SERVICE.replace(before, after))
    assert messages_of(path)[0].startswith(message)


def test_targets_with_one_address_are_refused(write_file: WriteFile) -> None:
    """Symptom: one server gets the keys of two targets and refuses half of them.

    Sequence: a target's entry is copied and its address left as it was.
    Cause: targets told apart by their ids only.
    """
    target = '  - {id: desk-2, address: "127.0.0.1:18101", zone: a}\n'
    path = write_file("a.yaml", SERVICE + target)
    assert messages_of(path) == [
        "a.yaml:11: spec.targets.1.address: 127.0.0.1:18101 is that of targets.0"
        " already"
    ]


def test_wrong_word_of_a_union_names_the_choices(write_file: WriteFile) -> None:
    """A wrong source of the key rule gets the nearest valid one as hint."""
    path = write_file(
        "a.yaml",
        """\
        apiVersion: swiftpin/v1
        kind: Profile
        metadata: {name: p}
        spec:
          key_rule:
            source: pth
        """,
    )
    (message,) = messages_of(path)
    assert message.startswith("a.yaml:5: spec.key_rule: should be 'header'")
    assert message.endswith("not 'pth'; did you mean path?")


def test_unknown_field_within_a_union(write_file: WriteFile) -> None:
    """The hint and the line come from the chosen form of the key rule."""
    path = write_file(
        "a.yaml",
        """\
        apiVersion: swiftpin/v1
        kind: Profile
        metadata: {name: p}
        spec:
          key_rule:
            source: query
            parameter: id
            paramter: id
        """,
    )
    assert messages_of(path) == [
        "a.yaml:8: spec.key_rule.paramter: unknown field; did you mean parameter?"
    ]


def test_two_declarations_of_one_name(write_file: WriteFile) -> None:
    """Symptom: which of two declarations counts depends on the files' order.

    Sequence: a service is copied to a new file and stays in the old one.
    Cause: taking the last one.
    """
    write_file("a.yaml", SERVICE)
    path = write_file("b.yaml", f"---\n{SERVICE}")
    assert messages_of(path.parent) == [
        "b.yaml:5: metadata.name: service/desk is declared at a.yaml:1 already"
    ]


def test_aliases_that_form_a_loop(write_file: WriteFile) -> None:
    """A value that contains itself is refused and does not hang the loader."""
    path = write_file("a.yaml", "kind: Service\nspec: &loop [*loop]\n")
    assert messages_of(path)


@pytest.mark.parametrize("name", ["absent.yaml", "."])
def test_path_without_declarations(tmp_path: Path, name: str) -> None:
    """A missing file and a directory without YAML files are errors."""
    with pytest.raises(DeclarationsError):
        load_declarations([tmp_path / name])
