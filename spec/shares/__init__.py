"""Model of a limit that all instances of the fleet share."""
