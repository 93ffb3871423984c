"""Kernel: types and helpers that every other package may import."""
