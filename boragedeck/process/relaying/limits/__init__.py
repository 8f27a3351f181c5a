"""Limits that replicas name, counted by one router for all."""
