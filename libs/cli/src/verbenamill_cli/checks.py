"""``config check``: checks a settings file with the daemon's own code."""

from pathlib import Path

from returns.result import Result

from verbenamill_cli.errors import CliError, ExitCode
from verbenamill_cli.output import Report
from verbenamill_runtime.settings import Settings, load_settings


def check_settings_file(path: Path) -> Result[Report, CliError]:
    """Check a settings file and report all of its faults."""

    def report_valid(settings: Settings) -> Report:
        return Report(
            data={'file': str(path), 'valid': True},
            lines=(
                f'{path}: good; {settings.vm.id} in '
                f'{settings.vm.availability_zone}',
            ),
        )

    def report_faults(faults: tuple[str, ...]) -> CliError:
        return CliError(
            code=ExitCode.FAULTY,
            message=f'{path}: {len(faults)} to correct',
            action='correct them all; examples/ has an annotated file',
            faults=faults,
        )

    return load_settings(path).map(report_valid).alt(report_faults)
