"""Configuration documents that operators publish: loading, validation and diff."""
