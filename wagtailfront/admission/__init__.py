"""Whether a request can be served in the time that its caller has."""
