"""Sockets, HTTP, thrift frames and the platform's client."""
