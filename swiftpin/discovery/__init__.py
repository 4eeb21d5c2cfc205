"""Targets, evacuations and configuration read from the platform's store."""
