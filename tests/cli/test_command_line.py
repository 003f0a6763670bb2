"""The command line rejects bad input with kind, message and remedy."""

import os
import subprocess
import sys
from pathlib import Path

import pytest
from msgspec.json import decode, encode

ROOT = Path(__file__).parents[2]
# Nothing listens on port 1.
DEAD_VM = "127.0.0.1:1"


def run_command(*words: str) -> subprocess.CompletedProcess[str]:
    """Run the command line without CARDAMOMDYKE variables in the environment."""
    kept = {k: v for k, v in os.environ.items() if not k.startswith("CARDAMOMDYKE_")}
    return subprocess.run(
        [sys.executable, "-m", "cardamomdyke.cli.commands", *words],
        env={**kept, "PYTHONPATH": str(ROOT / "src")},
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )


BAD_FILES = {
    "broken.json": b"{",
    "typed.json": b'{"routes": 3}',
    "typo.json": b'{"failure_domains": [{"name": "g", "region": "r", "in_servce": 0}]}',
    "join.json": encode(
        {"routes": [{"client_account": "a", "service": "s", "pools": ["p"]}]}
    ),
    "old.json": b'{"version": 4, "tables": {}}',
}


@pytest.mark.parametrize(
    ("command", "code", "kind"),
    [
        ("nothing", 2, "bad_command"),
        ("status", 2, "bad_command"),
        ("status more", 2, "bad_command"),
        (f"status --vm {DEAD_VM}", 3, "vm_unreachable"),
        ("status --vm nonsense", 3, "vm_unreachable"),
        ("usage --vm [::1", 3, "vm_unreachable"),
        ("settings --output yaml", 2, "bad_command"),
        ("domain out", 2, "bad_command"),
        ("node --config=/nowhere/node --metrics-port=x", 2, "bad_command"),
        ("node --config=/nowhere/node --metrics-port=65536", 2, "bad_command"),
        ("node --config=/nowhere/node", 2, "invalid_setting"),
        (f"domain out gent --force --vm {DEAD_VM}", 2, "bad_command"),
        (f"domain out gent --vm {DEAD_VM}", 3, "vm_unreachable"),
        ("job cancel", 2, "bad_command"),
        (f"tables edit join.json --vm {DEAD_VM}", 2, "bad_command"),
        (f"tables edit old.json --base 5 --vm {DEAD_VM}", 2, "invalid_file"),
        (f"tables edit old.json --base 4 --vm {DEAD_VM}", 3, "vm_unreachable"),
        ("tables check missing.json", 2, "invalid_file"),
        ("tables check broken.json", 2, "invalid_file"),
        ("tables check typed.json", 2, "invalid_file"),
        ("tables check typo.json", 2, "invalid_file"),
        ("tables check join.json", 1, "invalid_tables"),
        ("job submit typed.json", 2, "invalid_file"),
        ("daemon", 2, "invalid_setting"),
        ("daemon gent-e1", 2, "bad_command"),
        ("daemon --colour red", 2, "invalid_setting"),
    ],
)
def test_bad_input_is_explained(
    command: str, code: int, kind: str, tmp_path: Path
) -> None:
    """Guards against tracebacks, and against misspelled commands taking effect."""
    for name, content in BAD_FILES.items():
        (tmp_path / name).write_bytes(content)
    words = [
        str(tmp_path / word) if word.endswith(".json") else word
        for word in command.split()
    ]
    result = run_command(*words)
    assert result.returncode == code, result.stderr
    assert "Traceback" not in result.stdout + result.stderr
    last = result.stderr.strip().splitlines()[-1]
    assert last.startswith(f"{kind}: ")
    assert "; " in last


def test_failure_is_json_when_asked_for() -> None:
    """Guards against errors that a script can only read by parsing prose."""
    result = run_command("status", "--vm", DEAD_VM, "--output", "json")
    assert set(decode(result.stderr)) >= {"kind", "message", "remedy"}


def test_subject_stays_text() -> None:
    """Guards against a hexadecimal id, such as 1e9, being parsed as a number."""
    program = (
        "import sys; sys.argv = ['x', 'timeline', '--subject', '1e9', '--vm', 'h:1']\n"
        "from cardamomdyke.cli import calls, client\n"
        "from expression import Ok\n"
        "seen = []\n"
        "def call_vms(calls):\n"
        "    calls = list(calls); seen.extend(c.path for c in calls)\n"
        "    vms = {'vms': [{'caller_address': 'h:1'}]}\n"
        "    return [Ok(client.Answer(vms if 'status' in c.path else []))"
        " for c in calls]\n"
        "client.call_vms = call_vms\n"
        "client.call_vm = lambda call: call_vms([call])[0]\n"
        "from cardamomdyke.cli.commands import main\n"
        "main()\n"
        "print(seen)\n"
    )
    result = subprocess.run(
        [sys.executable, "-c", program],
        env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    assert "subject=1e9" in result.stdout


def list_modules(statement: str) -> set[str]:
    """Return the modules that a statement loads in a new interpreter."""
    result = subprocess.run(
        [sys.executable, "-c", f"{statement}\nimport sys\nprint(*sys.modules)"],
        env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    return set(result.stdout.split())


def test_daemon_and_client_load_only_their_own_code() -> None:
    """Guards against the daemon spending memory on modules of the client."""
    daemon = list_modules("import cardamomdyke.daemon.app")
    assert not {"fire", "numpy", "hypothesis"} & daemon
    assert not any(name.startswith("cardamomdyke.cli") for name in daemon)
    entry = list_modules("import cardamomdyke.cli.commands")
    assert "cardamomdyke.cli.client" not in entry
    client = list_modules("import cardamomdyke.cli.client")
    assert not any(name.startswith("cardamomdyke.daemon") for name in client)
