"""Rules left out or weakened, to show that a model notices."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Weakness:
    """Each flag takes one part of a rule away; all off is the protocol.

    Flags marked "second version" are the protocol as docs/design/ownership.md had it
    in its second version.
    """

    no_recheck: bool = False
    """`confirmed`: a holder that was confirmed once does not check again."""

    no_term_check: bool = False
    """`fence`: targets carry out grants of every term."""

    no_wait: bool = False
    """`lapsed`: a new holder does not wait for earlier holders' grants."""

    stale_majority: bool = False
    """`lapsed`, `serve`: a majority from before the end of a wait suffices (second
    version)."""

    late_grant_forgotten: bool = False
    """`lapsed`: an acknowledged revoke frees a slice although a grant of it was not
    answered (second version)."""

    unanswered_revoke: bool = False
    """`lapsed`: a revoke counts as acknowledged when its answer was lost."""

    serve_at_once: bool = False
    """`serve`: neither fences nor a wait are needed."""

    report_serves: bool = False
    """`serve`: a report alone, without a renewal, shows the owner (second version)."""

    changed_starts_asked: bool = False
    """`serve`: (b) stays on in a term that names another start of a target."""

    starts_change_forgotten: bool = False
    """`serve`: (b) is on again in the holder's next own term (third version)."""

    starts_change_unrecorded: bool = False
    """`serve`: the record does not tell the next holder that (b) is off (fourth
    version)."""

    grant_first: bool = False
    """`record_first`: the new owner is granted before the old one is revoked and the
    move is written."""

    no_read_back: bool = False
    """`record_first`: a write whose answer was lost counts as done."""

    landed_serves: bool = False
    """`lapsed`: a landed write is adopted and the new owner granted, although the old
    one was granted the slice anew and did not answer."""

    unconditional_write: bool = False
    """`takeover`, `terms_grow`: writes replace whatever is in the store."""

    slice_term_kept: bool = False
    """`slice_terms_grow`: a move keeps the slice term."""

    unreported_keeps_term: bool = False
    """`slice_terms_grow`: a slice that nobody reported keeps its term (second
    version)."""

    counted_at_once: bool = False
    """`counted`: a restarted target counts and is granted like any other."""

    counted_by_read: bool = False
    """`counted`: a restarted target counts after a read of the unchanged record
    (second version)."""
