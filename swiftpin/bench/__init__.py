"""Load and fault experiments on loopback."""
