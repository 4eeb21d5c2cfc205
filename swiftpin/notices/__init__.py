"""What targets state about themselves in their answers."""
