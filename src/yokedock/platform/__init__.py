"""The users' platform: its names, formats and calls, translated into the product's terms.

Nothing here decides; no other package knows these words.
"""
