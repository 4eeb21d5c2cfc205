"""Ownership of contiguous key ranges: lease, assignment, grants and moves."""
