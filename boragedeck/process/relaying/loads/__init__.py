"""Loads that routers tell each other."""
