"""Cost of recording work that must not repeat, by way of recording it."""
