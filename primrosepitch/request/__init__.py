"""Path of a request from caller to endpoint."""
