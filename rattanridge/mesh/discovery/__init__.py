"""What a node hears from the store, and what it tells it: watches and records."""
