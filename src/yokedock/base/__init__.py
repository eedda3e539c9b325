"""What every other package may use: clock, logs, options, histograms and metrics."""
