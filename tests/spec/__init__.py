"""Tests of the models of the ownership protocol."""
