"""A store, an instance list, targets and gateways on loopback."""
