"""Finds the requests that crash replicas."""
