"""Stand-ins for the platform and for upstreams, with faults set at run time."""
