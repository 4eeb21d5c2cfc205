"""Class of a request within a profile."""

from __future__ import annotations

from collections.abc import Callable
from fnmatch import translate
from functools import lru_cache
import re
from typing import Final

from swiftpin.config.profile import Profile
from swiftpin.config.request_class import RequestClass

SAFE_METHODS: Final = frozenset({"GET", "HEAD", "OPTIONS"})

DEFAULT_SAFE_CLASS: Final = RequestClass(
    name="default-safe",
    methods=SAFE_METHODS,
    path="*",
    priority=1,
    repeatable=True,
)
DEFAULT_OTHER_CLASS: Final = RequestClass(
    name="default-other",
    methods=frozenset(),
    path="*",
    priority=0,
    repeatable=False,
)

_MAX_COMPILED_GLOBS: Final = 4096


def request_class_of(profile: Profile, method: str, path: str) -> RequestClass:
    """Return the first class that matches, else the default one for the method.

    `path` is the part after the service, with its leading slash and no query.
    """
    for request_class in profile.classes:
        if request_class.methods and method not in request_class.methods:
            continue
        if _matcher(request_class.path)(path):
            return request_class
    return DEFAULT_SAFE_CLASS if method in SAFE_METHODS else DEFAULT_OTHER_CLASS


@lru_cache(maxsize=_MAX_COMPILED_GLOBS)
def _matcher(glob: str) -> Callable[[str], re.Match[str] | None]:
    """Return the compiled test of a glob."""
    return re.compile(translate(glob)).match
