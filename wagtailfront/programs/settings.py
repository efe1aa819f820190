"""Settings of the programs from flags and environment variables."""

import contextlib
import functools
import inspect
import io
import os
import re
import sys
import typing
from argparse import ArgumentTypeError

from wagtailfront.exception import SettingsError
from wagtailfront.programs.setting_values import (
    PARSERS,
    Address,
    Count,
    HostPort,
    Name,
    Rate,
    Seconds,
    Share,
    Size,
    parse_value,
)

__all__ = [
    "HostPort",
    "Address",
    "Seconds",
    "Count",
    "Rate",
    "Share",
    "Size",
    "Name",
    "PARSERS",
    "parse_value",
    "environment_name",
    "run",
]

ENVIRONMENT_PREFIX = "WAGTAILFRONT_"
EXIT_INVALID_SETTING = 2


def environment_name(parameter):
    """Return the environment variable of a parameter.

    Examples
    --------
    >>> environment_name("data_centre")
    'WAGTAILFRONT_DATA_CENTRE'
    """
    return ENVIRONMENT_PREFIX + parameter.upper()


def _argument_parser(annotation):
    def parse(text):
        try:
            return parse_value(annotation, text)
        except ValueError as error:
            raise ArgumentTypeError(str(error))

    return parse


def _parsers(function):
    hints = typing.get_type_hints(function)
    hints.pop("return", None)
    elements = {
        typing.get_args(hint)[0] if typing.get_origin(hint) is list else hint
        for hint in hints.values()
    }
    return {element: _argument_parser(element) for element in elements}


def _adapt_doc(doc, names):
    """Append each parameter's environment variable to its description.

    Types are removed, since defopt would evaluate them and compare them
    with the annotations.
    """
    for name in names:
        entry = re.compile(rf"^( *){name} :[^\n]*((?:\n\1 +\S[^\n]*)*)", re.MULTILINE)
        doc = entry.sub(rf"\1{name}\2 [{environment_name(name)}]", doc, count=1)
    return doc


def _with_environment(function, environ):
    """Return `function` with defaults from environment variables."""
    signature = inspect.signature(function)
    hints = typing.get_type_hints(function)
    flags = [
        name
        for name, parameter in signature.parameters.items()
        if parameter.kind is parameter.KEYWORD_ONLY
    ]
    parameters = dict(signature.parameters)
    for name in flags:
        text = environ.get(environment_name(name))
        if text is None:
            continue
        try:
            value = parse_value(hints[name], text)
        except ValueError as error:
            raise SettingsError(f"{environment_name(name)}: {error}")
        parameters[name] = parameters[name].replace(default=value)

    @functools.wraps(function)
    def wrapper(*args, **kwargs):
        return function(*args, **kwargs)

    wrapper.__signature__ = signature.replace(parameters=list(parameters.values()))
    doc = inspect.getdoc(function) or ""
    doc = re.sub(r"^(\*?\w+) : .*$", r"\1 :", doc, flags=re.M)
    wrapper.__doc__ = _adapt_doc(doc, flags)
    return wrapper


def _bind_without_flags(function, environ):
    """Return a call of `function` with its settings from `environ`.

    None if a setting without a default is missing.
    """
    parameters = inspect.signature(_with_environment(function, environ)).parameters
    if any(each.default is each.empty for each in parameters.values()):
        return None
    values = {name: each.default for name, each in parameters.items()}
    return functools.partial(function, **values)


def _bind(functions, *, prog, argv, environ):
    """Parse the command line; raise SettingsError for its first error."""
    # Takes a fifth of the time of a start, which mostly needs no flags.
    import defopt

    several = not callable(functions)
    listed = list(functions) if several else [functions]
    # Environment variables only apply to the chosen subcommand.
    chosen = argv[0].replace("-", "_") if several and argv else None
    wrapped = [
        _with_environment(
            function, environ if chosen in (None, function.__name__) else {}
        )
        for function in listed
    ]
    parsers = {}
    for function in listed:
        parsers |= _parsers(function)
    errors = io.StringIO()
    try:
        with contextlib.redirect_stderr(errors):
            return defopt.bind(
                wrapped if several else wrapped[0],
                parsers=parsers,
                short={},
                version=False,
                argparse_kwargs={"prog": prog},
                argv=argv,
            )
    except SystemExit as exit_call:
        if not exit_call.code:
            raise
        lines = errors.getvalue().strip().splitlines() or ["invalid command line"]
        raise SettingsError(lines[-1].partition("error: ")[2] or lines[-1])


def run(functions, *, prog, argv=None, environ=None):
    """Run a program's main function with its settings.

    Every keyword-only parameter of the function is a flag and can also be
    set by the environment variable `WAGTAILFRONT_<FLAG>`; the flag takes
    precedence. Its help text is the parameter's numpydoc entry, which states
    the unit.

    Parameters
    ----------
    functions : callable or list of callable
        The main function, or one function per subcommand.
    prog : str
        Name of the program for messages.
    argv : list of str, optional
        Arguments without the program's name.
    environ : mapping of str to str, optional

    Returns
    -------
    int
        Exit status: 2, with one line on standard error, for an invalid
        setting; otherwise the result of the function, with None as 0.

    Notes
    -----
    All settings are parsed before the function is called, so that an invalid
    one is reported before any socket opens. The function raises
    SettingsError for settings that contradict each other.
    """
    argv = sys.argv[1:] if argv is None else argv
    environ = os.environ if environ is None else environ
    try:
        call = None
        if callable(functions) and not argv:
            call = _bind_without_flags(functions, environ)
        if call is None:
            call = _bind(functions, prog=prog, argv=argv, environ=environ)
        return call() or 0
    except SettingsError as error:
        print(f"{prog}: {error}", file=sys.stderr)
        return EXIT_INVALID_SETTING
