"""Where the worth of a played day was lost."""
