"""Foundations for all other packages: clock, logs, options, histograms, metrics and sockets."""
