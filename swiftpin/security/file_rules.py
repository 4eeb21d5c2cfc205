"""Rules for which file settings must be set together."""

from __future__ import annotations

from pathlib import Path

from swiftpin.security.named_file import NamedFile


def named_file(flag: str, path: Path | None) -> NamedFile | None:
    """Return the file of a flag, None if the flag is not set."""
    return None if path is None else NamedFile(flag=flag, path=path)


def check_all_or_none(*files: tuple[str, Path | None]) -> None:
    """Raise `ValueError` unless all flags or none are set."""
    named_files = [named_file(flag, path) for flag, path in files]
    first_set = next((file for file in named_files if file is not None), None)
    if first_set is None:
        return
    for flag, path in files:
        if path is None:
            raise ValueError(f"{first_set}: {flag} is needed too")


def check_ca_present(
    cert: tuple[str, Path | None], ca: tuple[str, Path | None]
) -> None:
    """Raise `ValueError` for a client certificate without a CA for the server."""
    file = named_file(*cert)
    if file is not None and ca[1] is None:
        raise ValueError(f"{file}: {ca[0]} is needed too")
