"""Helpers shared by several packages."""
