"""Client of the platform's object store."""
