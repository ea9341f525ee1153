"""Scheduling of jobs on the platform's runners."""
