"""What lives for one connection or one peer."""
