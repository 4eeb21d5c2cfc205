"""Permits that share the targets' slots among all instances."""
