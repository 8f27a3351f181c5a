"""The replicas that a router knows, and what they say of themselves."""
