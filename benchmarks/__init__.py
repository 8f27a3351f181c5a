"""Measurements, each against a baseline in the same run."""
