"""Call path: entry, exit, forwarding and what they decide."""
