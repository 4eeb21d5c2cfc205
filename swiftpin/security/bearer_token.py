"""Bearer token that authenticates an instance or an operator to the store."""

from __future__ import annotations

import re
from typing import Final

from swiftpin.exceptions import ConfigurationError
from swiftpin.security.named_file import NamedFile
from swiftpin.security.reloadable import Reloadable

TOKEN_PATTERN: Final = re.compile(rb"[\x21-\x7e]+")
MAX_TOKEN_SIZE: Final = 8 * 1024


class BearerToken(Reloadable[str]):
    """Content of a token file without surrounding white space."""

    def __init__(self, file: NamedFile) -> None:
        super().__init__([file], lambda: _read_token(file))


def _read_token(file: NamedFile) -> str:
    """Return the token; the error does not quote the file's content."""
    content = file.read().strip()
    if TOKEN_PATTERN.fullmatch(content) is None or len(content) > MAX_TOKEN_SIZE:
        raise ConfigurationError(f"{file}: is not one line of visible ASCII")
    return content.decode("ascii")
