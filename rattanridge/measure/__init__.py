"""Experiments that measure the system and compare the figures with targets."""
