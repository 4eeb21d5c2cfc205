"""The named experiments."""
