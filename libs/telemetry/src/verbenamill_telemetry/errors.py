"""Description of unexpected errors in the log."""

from pathlib import Path
from traceback import extract_tb


def describe_error(error: BaseException) -> str:
    """Describe the first innermost error of nested groups, in one line.

    The line names the place that raised the error: the same error, such as a
    number that an encoding cannot hold, may come from several.
    """
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frames = extract_tb(error.__traceback__)
    if not frames:
        return repr(error)
    innermost = frames[-1]
    place = f'{Path(innermost.filename).name}:{innermost.lineno}'
    return f'{error!r} in {innermost.name} at {place}'
