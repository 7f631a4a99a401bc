"""Keys, upper limits and shares of teams."""
