"""Model of the ownership of key ranges under a lease and votes."""
