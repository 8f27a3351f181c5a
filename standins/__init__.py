"""Small stand-ins for the outside systems, for tests and demonstrations."""
