"""Translation between the product and the users' platform, and nothing else."""
