"""Records in the store, and the state that is computed from them."""
