"""Deterministic property-based tests: every run generates the same cases."""

from hypothesis import HealthCheck, example, given, settings


def searched(known_case=None, **strategies):
    """Turn a check into a property-based test that generates the same cases in every run.

    ``known_case`` is tested first: a case that has failed before, or that is rarely generated.
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
