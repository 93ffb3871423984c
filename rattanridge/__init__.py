"""rattanridge: configuration distribution system for a service mesh."""
