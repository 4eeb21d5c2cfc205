"""Tests of swiftpin.keyranges."""
