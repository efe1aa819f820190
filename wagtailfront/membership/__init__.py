"""Which instances are alive, and messages between them."""
