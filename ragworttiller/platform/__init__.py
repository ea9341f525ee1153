"""Clients of the platform: names, formats and calls; nothing here decides."""
