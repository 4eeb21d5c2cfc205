"""Tools that more than one package uses."""
