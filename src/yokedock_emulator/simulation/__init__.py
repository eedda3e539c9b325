"""Routers in simulated time and on a simulated network: the seed alone determines a run."""
