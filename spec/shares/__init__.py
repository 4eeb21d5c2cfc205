"""Model of a limit of the fleet that its instances share."""
