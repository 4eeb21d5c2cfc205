"""Declarations: services, profiles and planned stops."""
