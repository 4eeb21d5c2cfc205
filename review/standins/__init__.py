"""Stand-ins and helpers for the cases of the independent review."""
