"""Models of the ownership protocol, checked exhaustively with `python -m spec`."""
