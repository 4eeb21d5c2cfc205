"""Data classes that the parts of the router share; imports none of these parts."""
