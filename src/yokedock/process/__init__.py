"""What lives for one process."""
