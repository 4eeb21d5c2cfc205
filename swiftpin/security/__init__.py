"""Certificates and tokens at the borders of an instance."""
