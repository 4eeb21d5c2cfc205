"""Demonstration on one machine: real requests through a small cluster."""
