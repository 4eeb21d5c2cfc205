"""Tests of swiftpin.fleet."""
