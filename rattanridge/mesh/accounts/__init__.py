"""Client accounts at the entry."""
