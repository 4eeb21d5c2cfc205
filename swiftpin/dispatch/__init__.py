"""Sending of requests to targets: queues, limits, retries and records."""
