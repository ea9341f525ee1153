"""Clients of the platform: names, wire formats and calls. Nothing here makes decisions."""
