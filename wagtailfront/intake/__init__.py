"""Memory for callers' unfinished and waiting requests and unread answers."""
