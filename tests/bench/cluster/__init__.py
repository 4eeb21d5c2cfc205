"""Tests of clusters on loopback."""
