"""Node process: accepts jobs, and runs the scheduler while it holds the term."""
