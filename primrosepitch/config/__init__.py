"""Configuration that operators publish."""
