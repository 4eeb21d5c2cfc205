"""Tests of the page of results."""
