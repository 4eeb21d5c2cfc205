"""Experiment on placement decisions at full size, without network or processes."""
