"""Ways to replicas, also through other routers."""
