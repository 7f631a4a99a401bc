"""Model of submitted jobs, and their records in the platform's store."""
