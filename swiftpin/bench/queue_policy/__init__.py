"""What a target's queue costs, and what its order is worth under overload."""
