"""Tests of swiftpin."""
