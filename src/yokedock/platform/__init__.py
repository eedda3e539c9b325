"""Adapter for the users' platform: maps its names, formats and calls to the terms of the router.

It makes no routing decisions, and no other package uses the platform's names
(``tools/check_platform_words.py`` checks this).
"""
