"""Targets and configuration as the platform's store tells them."""
