"""Description of unexpected errors."""

from verbenamill_telemetry import describe_error


def divide(number):
    return 1 / number


def test_the_place_of_a_nested_error_is_named():
    """Guards against a crash whose log does not tell which part failed."""
    try:
        try:
            divide(0)
        except ZeroDivisionError as error:
            raise ExceptionGroup('task', [error]) from None
    except ExceptionGroup as group:
        described = describe_error(group)
    assert described.startswith('ZeroDivisionError(')
    assert ' in divide at test_errors.py:' in described
    assert '\n' not in described


def test_an_error_without_a_traceback_is_described():
    assert describe_error(ValueError('x')) == "ValueError('x')"
