"""Tests of what targets state about themselves in their answers."""
