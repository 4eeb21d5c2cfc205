"""Client of the targets' control interface."""
