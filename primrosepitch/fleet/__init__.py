"""State that every process folds from the log."""
