"""Estimates of how fast replicas are."""
