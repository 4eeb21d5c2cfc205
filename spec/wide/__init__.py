"""Model of a fenced group of five: a majority may leave out two possible owners."""
