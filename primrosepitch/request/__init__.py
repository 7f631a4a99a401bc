"""Request handling of an entry, from the arrival of a request to its response."""
