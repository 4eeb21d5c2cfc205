"""Tests of the ways to targets through other instances."""
