"""Control path: configuration, membership and roles between nodes."""
