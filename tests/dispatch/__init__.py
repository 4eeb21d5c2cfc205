"""Tests of queues, limits, retries and records."""
