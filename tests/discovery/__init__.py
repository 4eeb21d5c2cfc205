"""Tests of swiftpin.permits."""
