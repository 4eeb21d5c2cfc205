"""Tests of the developers' scripts."""
