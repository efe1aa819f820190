"""Number of engines of each service, by data centre and kind."""
