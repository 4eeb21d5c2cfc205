"""Measurement of news between instances: time to reach all, cost at rest."""
