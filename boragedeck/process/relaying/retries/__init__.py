"""Repeated attempts within the bounds of the fleet."""
