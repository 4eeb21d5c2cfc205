"""Tests of the table of lost worth."""
