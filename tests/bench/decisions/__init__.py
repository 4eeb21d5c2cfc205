"""Tests of the decisions in simulated time."""
