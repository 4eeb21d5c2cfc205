"""Adapter to the users' platform: decodes its messages and encodes messages for it."""
