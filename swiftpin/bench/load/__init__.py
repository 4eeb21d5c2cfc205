"""Load generator: callers that retry until they are answered."""
