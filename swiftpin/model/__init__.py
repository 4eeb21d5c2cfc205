"""Data classes shared by the router's packages; imports none of those packages."""
