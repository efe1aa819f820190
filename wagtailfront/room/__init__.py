"""Memory of engines: what requests take, and who gets it where it is short."""
