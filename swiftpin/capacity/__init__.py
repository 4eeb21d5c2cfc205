"""What one instance can carry, decided without a network."""
