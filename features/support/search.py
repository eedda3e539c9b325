"""How properties are searched: the same way every time."""

from hypothesis import HealthCheck, example, given, settings


def searched(known_case=None, **strategies):
    """Turn a property into a search that goes the same way every time.

    ``known_case`` is tried first: a case that once failed, or that the search reaches seldom.
    """

    def wrap(check):
        search = settings(
            max_examples=300,
            deadline=None,
            database=None,
            derandomize=True,
            suppress_health_check=[HealthCheck.too_slow],
        )
        found = search(given(**strategies)(check))
        return example(**known_case)(found) if known_case else found

    return wrap
