"""Poison requests, which crash the targets that run them."""
