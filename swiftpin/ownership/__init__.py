"""Ownership of keys: groups, lease holders, grants, moves and takeover."""
