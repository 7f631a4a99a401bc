"""A node on the platform: intake of jobs, and the scheduler while it has the term."""
