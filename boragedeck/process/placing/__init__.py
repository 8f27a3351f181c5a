"""Where runs are placed: the state of the upstreams, limits, queues and the choice."""
