"""The routers and their tasks for each other."""
