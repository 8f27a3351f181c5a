"""Leases: which router does what only one router may do."""
