"""Quotas of client accounts over all nodes: one node allocates shares, all admit."""
