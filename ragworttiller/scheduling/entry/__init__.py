"""One entry: answers to callers, calls between entries, and their wiring."""
