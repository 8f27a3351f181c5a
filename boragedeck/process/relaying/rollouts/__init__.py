"""Moves of a pool to another version."""
