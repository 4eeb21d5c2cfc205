"""The router's decisions in simulated time, against modelled targets and callers."""
