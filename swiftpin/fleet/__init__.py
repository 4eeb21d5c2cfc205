"""Links between the instances of a router: heartbeats, updates, permits."""
