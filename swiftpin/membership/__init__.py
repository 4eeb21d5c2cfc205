"""Membership: the instance list, messages between instances and news."""
