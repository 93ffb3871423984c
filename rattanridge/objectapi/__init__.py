"""Client of the platform's object API: versions, conditional updates, leases."""
