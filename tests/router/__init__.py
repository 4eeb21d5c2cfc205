"""Tests of swiftpin.router."""
