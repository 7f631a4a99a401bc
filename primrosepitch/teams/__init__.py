"""Keys of teams, fair shares between teams, and the units that entries hold."""
