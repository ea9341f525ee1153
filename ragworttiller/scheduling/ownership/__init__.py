"""Ownership of the cell, and the owner that carries out its decisions."""
