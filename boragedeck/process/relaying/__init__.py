"""Process-wide parts of a router that relays requests to replicas."""
