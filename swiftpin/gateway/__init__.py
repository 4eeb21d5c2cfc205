"""The daemon that stands between callers and targets."""
