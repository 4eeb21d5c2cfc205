"""Adapter to the users' platform: decodes what it sends, encodes what it takes."""
