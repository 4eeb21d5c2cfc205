"""Tests of the load generator."""
