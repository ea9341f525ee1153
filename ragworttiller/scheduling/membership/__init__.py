"""Entries of the cell: which there are, which can be reached, and the calls made by them."""
