"""Clients, servers and protocols of the network connections."""
