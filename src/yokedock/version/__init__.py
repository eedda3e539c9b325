"""Versioned configuration: bundles, route tables, and the decisions derived from one version."""
