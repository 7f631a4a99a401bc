"""Jobs: what callers submit, and what lasts of it in the platform's store."""
