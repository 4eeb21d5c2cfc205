"""Tests of certificates and tokens at the borders."""
