"""Models of fenced groups: a majority of the targets confirms the holder."""
