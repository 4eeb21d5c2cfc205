"""Tests of the process supervisor."""
