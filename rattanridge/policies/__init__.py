"""Policies: decisions that need no network; plug-ins register by decorators."""
