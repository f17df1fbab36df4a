"""Exact error messages for faulty files."""

from verbenamill_cli.errors import ExitCode

SETTINGS = """
[vm]
id = "tx a 1"
availability_zone = "tx-central-a"
region = "tx-central"
[listen]
calls = "localhost:7001"
control = "10.0.0.5:7002"
admin = "10.0.0.5:7003"
[log]
url = "10.0.0.9:8080"
[loging]
level = "info"
"""
TICKET = """
number = "7"
autor = "me"
[[service]]
name = "entries"
[[routes]]
name = "fees"
prefix = "/fees"
service = "entries"
priority = "urgent"
"""


def test_faulty_settings(run, tmp_path):
    file = tmp_path / 'bad.toml'
    file.write_text(SETTINGS)
    result = run('config', 'check', file)
    assert result.exit_code == ExitCode.FAULTY
    assert result.stderr.splitlines() == [
        f'error: {file}: 4 to correct',
        '  - loging = a table: expected no such key; did you mean logging?',
        '  - vm.id = "tx a 1": expected a name of up to 100 letters, digits, '
        '".", "_" and "-", in quotes',
        '  - listen.calls = "localhost:7001": expected an IP number and a '
        'port in quotes, such as "10.0.0.5:7001"',
        '  - log.url = "10.0.0.9:8080": expected a URL such as '
        '"http://10.0.0.9:8080" without a query',
        'what to do: correct them all; examples/ has an annotated file',
    ]


def test_faulty_ticket(run, tmp_path):
    file = tmp_path / 'bad.toml'
    file.write_text(TICKET)
    result = run('ticket', 'validate', file)
    assert result.exit_code == ExitCode.FAULTY
    assert result.stderr.splitlines() == [
        f'error: {file} is no ticket; 5 to correct',
        '  - autor = "me": expected no such key; did you mean author?',
        '  - service = [a table]: expected no such key; did you mean services?',
        '  - number = "7": expected a whole number',
        '  - author: missing; expected text in quotes',
        '  - routes[1].priority = "urgent": expected one of "high", '
        '"normal", "bulk"',
        'what to do: correct them all; examples/ has annotated tickets',
    ]


def test_files_that_cannot_be_read(run, tmp_path):
    for command in (('config', 'check'), ('ticket', 'publish')):
        result = run(*command, tmp_path)
        assert result.exit_code == ExitCode.FAULTY
        assert 'cannot be read' in result.stderr


def test_well_formed_ticket_that_would_be_refused(run, examples, tmp_path):
    """All reasons are listed at once, each with a remedy."""
    run('ticket', 'publish', examples / 'lone-star/1-entries.toml')
    file = tmp_path / 'bad.toml'
    file.write_text(
        'number = 2\nauthor = " "\nremove_services = ["entries", "x"]\n'
        'aborts = ["entries"]\n[[services]]\nname = "cata log"\n'
        'version = "v1"\n[[routes]]\nname = "fees"\nprefix = "/e"\n'
        'service = "nope"\n[[routes]]\nname = "e"\nprefix = "/e"\n'
        'service = "nope"\ntimeout = "5m"\n',
    )
    result = run('ticket', 'validate', file)
    assert result.exit_code == ExitCode.FAULTY
    assert result.stderr.splitlines()[1:-1] == [
        '  - author is empty; say who answers for the change',
        "  - service name or version 'cata log' is not a name of up to 100 "
        'letters, digits, ".", "_" and "-"',
        '  - timeout of route e is 300 s; the longest is 60 s',
        '  - service entries is touched 2 times; say it once',
        '  - service x does not exist',
        '  - service entries has no running move to abort',
        '  - route class-lists points at service entries, which does not '
        'exist; add it in the same ticket or first',
        '  - route fees points at service nope, which does not exist; '
        'add it in the same ticket or first',
        '  - route e points at service nope, which does not exist; '
        'add it in the same ticket or first',
        '  - prefix /e has 2 routes; keep one',
    ]
