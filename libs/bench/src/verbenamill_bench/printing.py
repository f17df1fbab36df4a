"""Printing reports for people and for programs."""

import json

import msgspec
import typer
from msgspec import Struct


def print_report(report: Struct, *, as_json: bool) -> None:
    """Print a report as JSON, or as indented lines."""
    plain = msgspec.to_builtins(report)
    if as_json:
        typer.echo(json.dumps(plain, indent=2))
        return
    for line in _lines(plain, 0):
        typer.echo(line)


def _lines(plain: object, depth: int) -> list[str]:
    indent = '  ' * depth
    if isinstance(plain, dict):
        return [
            line
            for key, value in plain.items()
            for line in _entry_lines(f'{indent}{key}:', value, depth)
        ]
    if isinstance(plain, list):
        return [
            line
            for value in plain
            for line in _entry_lines(f'{indent}-', value, depth)
        ]
    return [f'{indent}{plain}']


def _entry_lines(head: str, value: object, depth: int) -> list[str]:
    if isinstance(value, dict | list) and value:
        return [head, *_lines(value, depth + 1)]
    return [f'{head} {value}']
