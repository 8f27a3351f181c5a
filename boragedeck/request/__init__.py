"""Code and state of a single request."""
