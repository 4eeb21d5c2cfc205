"""Model of cooperative groups: the successor's acknowledgements confirm the holder."""
