"""Ways to targets through other instances while an instance's own links are lost."""
