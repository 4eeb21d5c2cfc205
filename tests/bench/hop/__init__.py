"""Tests of the comparison of ways to forward."""
