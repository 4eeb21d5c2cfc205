"""How a request that must run at most once ended."""

from __future__ import annotations

from swiftpin.dispatch.answered import Answered
from swiftpin.dispatch.not_run import NotRun
from swiftpin.dispatch.unknown import Unknown

Outcome = Answered | NotRun | Unknown
