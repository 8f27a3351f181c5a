"""Benchmarks, each with a baseline in the same run."""
