"""Model of key range ownership with a lease and votes."""
