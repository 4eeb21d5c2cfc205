"""Tests of the experiments' tools."""
