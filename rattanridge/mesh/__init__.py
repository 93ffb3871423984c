"""The node of each host: accepts, routes, forwards and answers requests."""
