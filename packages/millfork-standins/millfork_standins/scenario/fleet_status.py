"""
Reads the status of a running fleet, and sets the options of a fleet from text.

"""

from typing import Any, Final

from millfork_standins.callers import CallOutcome, CallRecord
from millfork_standins.fleet import Fleet
from millfork_standins.layout import ADMIN_PORT, CALLERS_PORT, FleetOptions
from millfork_standins.requests import fetch

STATUS_PATH: Final = '/control/v1/status'
VOTER_LINE: Final = 'millfork_voter 1'


def find_right_records(records: list[CallRecord]) -> list[CallRecord]:
    return [record for record in records if record.outcome is CallOutcome.RIGHT]


def set_option(options: FleetOptions, name: str, value: str) -> None:
    """
    Set an option from text, such as `relay=yes`, `model_bytes=1000`, `engine.token_ms=20`.

    """
    field, _, key = name.partition('.')
    parsed_value: Any = (
        value in ('yes', 'on') if value in ('yes', 'no', 'on', 'off') else float(value)
    )
    if isinstance(parsed_value, float) and parsed_value.is_integer():
        parsed_value = int(parsed_value)
    if key:
        getattr(options, field)[key] = parsed_value
        return
    setattr(options, field, parsed_value)


def fetch_rollouts(fleet: Fleet) -> list[dict[str, Any]]:
    """
    Return the rollouts in the answer of the first running entry that answers with status 200; an
    empty list if none does.

    """
    headers = {'authorization': f'Bearer {fleet.admin_token}'}
    for entry in fleet.entries:
        if entry.name not in fleet.processes:
            continue
        try:
            answer = fetch('GET', entry.host, CALLERS_PORT, STATUS_PATH, headers=headers, timeout=1)
        except OSError:
            continue
        if answer.status == 200:
            rows: list[dict[str, Any]] = answer.json()['deployments']
            return rows
    return []


def count_voters(fleet: Fleet) -> int:
    """
    Count the running replicas whose metrics say that they are voters.

    """
    count = 0
    for replica in fleet.replicas:
        if replica.name not in fleet.processes:
            continue
        try:
            text = fetch('GET', replica.host, ADMIN_PORT, '/metrics', timeout=1).body.decode()
        except OSError:
            continue
        count += any(line.startswith(VOTER_LINE) for line in text.splitlines())
    return count
