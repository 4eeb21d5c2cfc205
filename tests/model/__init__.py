"""Tests of the shared data classes."""
