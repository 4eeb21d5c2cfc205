"""Links between router instances for heartbeats, updates and permits."""
