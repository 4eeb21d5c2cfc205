"""TLS certificates and tokens for an instance's ports and connections."""
