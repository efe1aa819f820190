"""Keys of workspaces, and how long a key that was removed may be served."""
