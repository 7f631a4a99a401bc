"""Messages, client and commands for the operators' HTTP API."""
