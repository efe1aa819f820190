"""Pure routing, admission and scheduling decisions."""
