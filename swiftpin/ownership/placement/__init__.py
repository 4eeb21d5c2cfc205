"""Placement: which target owns which slice, decided without input or output.

Every function here is pure: the same arguments give the same answer on every
instance, ties are broken by hashes, and the present time is an argument.
"""
