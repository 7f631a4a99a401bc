"""Run the soak: ``python -m soak --runs 50``."""

from soak.soak import main

main()
