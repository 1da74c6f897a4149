"""Commands, which change something."""
