"""Tests of what is deployed beside the programs."""
