"""Tests of the operators' command."""
