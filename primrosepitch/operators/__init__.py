"""Messages, client and commands of the operators' HTTP API."""
