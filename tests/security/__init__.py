"""Tests for TLS certificates, tokens and untrusted callers."""
