"""A fault soak of routers as the deploy file builds them, judged from outside alone."""
