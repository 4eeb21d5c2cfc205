"""Tests of swiftpin.platform."""
