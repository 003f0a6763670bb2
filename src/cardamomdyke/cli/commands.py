"""Entry point of the command line: the daemon, or the operators' client."""

import sys
from typing import Any, NoReturn

from fire import Fire
from fire.core import FireExit
from fire.decorators import SetParseFn

from cardamomdyke.model.errors import ProblemKind, make_problem

EXIT_FAILED = 1
EXIT_BAD_COMMAND = 2
EXIT_INTERRUPTED = 130
MAX_PORT = 65_535


@SetParseFn(str)  # type: ignore[untyped-decorator]
def run_daemon_command(*extra: str, **flags: Any) -> None:
    """Run the daemon of this VM until a termination signal.

    Each setting is a flag, as in --vm=gent-e1, or an environment variable, as in
    CARDAMOMDYKE_VM. Without any, the error lists the required settings.
    """
    import asyncio
    import os

    from eliot import to_file

    from cardamomdyke.daemon.app import run_daemon
    from cardamomdyke.daemon.settings import Settings, read_settings

    if "help" in flags:
        print(f"{run_daemon_command.__doc__}\n{Settings.__doc__}")
        return
    if extra:
        message = f"daemon accepts only flags, not {' '.join(extra)!r}"
        fail_command(ProblemKind.BAD_COMMAND, message)
    result = read_settings(flags, os.environ)
    if result.is_error():
        problem = result.error
        print(f"{problem.kind}: {problem.message}; {problem.remedy}", file=sys.stderr)
        sys.exit(EXIT_BAD_COMMAND)
    settings, origins = result.ok
    to_file(sys.stderr)
    asyncio.run(run_daemon(settings, origins))


def run_node_command(*extra: str, **flags: str) -> None:
    """Run the daemon of this VM on the users' platform.

    Name the platform's settings file with --config=PATH or the environment variable
    CARDAMOMDYKE_CONFIG. With --metrics-port=PORT the daemon also serves metrics at
    http://HOST:PORT/metrics. The environment variables CARDAMOMDYKE_LIMIT_* set the
    limits of clients; see docs/OPERATIONS.md.
    """
    import asyncio
    import os

    from cardamomdyke.control.app import run_node
    from cardamomdyke.control.reload import load_settings
    from cardamomdyke.platform.settings import SETTINGS_VARIABLE
    from cardamomdyke.protocol.limits import read_request_limits

    path = flags.pop("config", os.environ.get(SETTINGS_VARIABLE, ""))
    port = str(flags.pop("metrics_port", "0"))
    if "help" in flags:
        print(run_node_command.__doc__)
        return
    if extra or flags or not path:
        message = (
            "node requires --config=PATH or CARDAMOMDYKE_CONFIG, and its only other "
            "flag is --metrics-port=PORT"
        )
        fail_command(ProblemKind.BAD_COMMAND, message)
    if not port.isdecimal() or int(port) > MAX_PORT:
        message = f"--metrics-port={port} is not a port from 1 to {MAX_PORT}"
        fail_command(ProblemKind.BAD_COMMAND, message)
    result = load_settings(path)
    if result.is_error():
        problem = result.error
        print(f"{problem.kind}: {problem.message}; {problem.remedy}", file=sys.stderr)
        sys.exit(EXIT_BAD_COMMAND)
    requests = read_request_limits(os.environ)
    if requests.is_error():
        fail_command(ProblemKind.BAD_COMMAND, requests.error)
    asyncio.run(run_node(result.ok, path, int(port), requests.ok))


@SetParseFn(str)  # type: ignore[untyped-decorator]
def run_check_command(*files: str, **flags: str) -> None:
    """Check a configuration before it is published, without a VM.

    Name a file, or send the configuration to standard input. --tables=product checks
    the product's own tables instead of the platform's. --former=FILE names the version
    in force and adds what changes in it. --accelerators=POOL:N,POOL:N states the
    accelerators of all servers of a pool; only then are services without servers and
    guarantees over the pools found. --format=json prints JSON.

    Exit codes: 0 no findings, 1 findings, 2 a file or flag that cannot be read.
    """
    from cardamomdyke.cli.check import run_check

    if "help" in flags:
        print(run_check_command.__doc__)
        return
    sys.exit(run_check(files, flags))


def fail_command(kind: ProblemKind, message: str, code: int = EXIT_FAILED) -> NoReturn:
    """Print a problem and exit, with `code` unless the command itself is bad."""
    problem = make_problem(kind, message)
    print(f"{problem.kind}: {problem.message}; {problem.remedy}", file=sys.stderr)
    sys.exit(EXIT_BAD_COMMAND if kind is ProblemKind.BAD_COMMAND else code)


def find_component(arguments: list[str]) -> Any:
    """Return what Fire runs; import the client only when needed."""
    if arguments[:1] == ["daemon"]:
        return {"daemon": run_daemon_command}
    if arguments[:1] == ["node"]:
        return {"node": run_node_command}
    if arguments[:1] == ["check"]:
        return {"check": run_check_command}
    from cardamomdyke.cli.client import Client

    return Client


def main() -> None:
    """Run the command line."""
    arguments = sys.argv[1:]
    try:
        Fire(find_component(arguments), name="cardamomdyke")
    except FireExit as stop:
        if stop.code:
            message = f"unknown command or arguments: {' '.join(arguments)!r}"
            fail_command(ProblemKind.BAD_COMMAND, message)
        raise
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
    except BrokenPipeError:
        # The reader, such as head, closed the pipe; Python must not flush at exit.
        sys.stdout = None
        sys.exit(0)
    except Exception as error:
        if arguments[:1] in (["daemon"], ["node"]):
            raise
        # For a check, 1 means findings.
        code = EXIT_BAD_COMMAND if arguments[:1] == ["check"] else EXIT_FAILED
        fail_command(ProblemKind.INTERNAL, f"{type(error).__name__}: {error}", code)


if __name__ == "__main__":
    main()
