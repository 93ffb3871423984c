"""The node beside each upstream: takes, forwards, runs and answers requests."""
