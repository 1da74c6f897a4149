"""Small stand-ins of the platform, engines, services and trainers, for tests and the demo."""
