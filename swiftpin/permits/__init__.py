"""Sharing of the targets' slots between all instances."""
