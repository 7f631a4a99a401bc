"""Stand-ins and checks for the scripts of the review; they need no package."""
