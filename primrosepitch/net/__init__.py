"""Connections, HTTP, Thrift frames between processes, and the platform's client."""
