"""Policies: plug-ins that register themselves by decorators."""
