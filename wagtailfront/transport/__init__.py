"""HTTP connections, TLS settings and the supervisor tree."""
