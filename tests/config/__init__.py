"""Tests of declarations."""
