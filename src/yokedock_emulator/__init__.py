"""Stand-ins for everything around yokedock, a load generator and experiments.

Each stand-in keeps a ledger of what really ran and what memory is held: the judge of the tests.
"""
