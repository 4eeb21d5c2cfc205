"""Stand-ins and helpers of the cases 4 to 8; they use the standard library only."""
