"""Adapter to the platform: wire names, formats and API calls, without policy."""
