"""Seeded plays of many overlapping disruptions before routers as processes."""
