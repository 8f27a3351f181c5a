"""Adapter that translates between boragedeck and the users' platform."""
