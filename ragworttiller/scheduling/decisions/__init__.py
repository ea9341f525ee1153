"""Decisions of the owner of a cell, without I/O."""
