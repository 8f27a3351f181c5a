"""Relaying requests to replicas: what lives for the process."""
