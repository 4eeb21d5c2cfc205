"""HTML page with plots of recorded results."""
