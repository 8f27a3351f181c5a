"""Chooses replicas for requests, and lets requests wait."""
