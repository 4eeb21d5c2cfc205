"""Recorded events and the checker that judges them."""
