"""
What a scenario looks at on a running fleet.

"""

from typing import Any, Final

from millfork_standins.callers import CallOutcome, CallRecord
from millfork_standins.fleet import Fleet
from millfork_standins.layout import ADMIN_PORT, CALLERS_PORT, FleetOptions
from millfork_standins.requests import fetch

STATUS: Final = '/control/v1/status'
VOTER_LINE: Final = 'millfork_voter 1'


def find_right_records(records: list[CallRecord]) -> list[CallRecord]:
    return [item for item in records if item.end is CallOutcome.RIGHT]


def set_option(options: FleetOptions, name: str, value: str) -> None:
    """
    `relay=yes`, `model_bytes=1000`, `engine.token_ms=20` and the like.

    """
    field, _, key = name.partition('.')
    number: Any = value in ('yes', 'on') if value in ('yes', 'no', 'on', 'off') else float(value)
    if isinstance(number, float) and number.is_integer():
        number = int(number)
    if key:
        getattr(options, field)[key] = number
        return
    setattr(options, field, number)


def fetch_rollouts(fleet: Fleet) -> list[dict[str, Any]]:
    """
    The rollouts as the first entry that answers tells them.

    """
    headers = {'authorization': f'Bearer {fleet.admin_token}'}
    for entry in fleet.entries:
        if entry.name not in fleet.processes:
            continue
        try:
            answer = fetch('GET', entry.host, CALLERS_PORT, STATUS, headers=headers, timeout=1)
        except OSError:
            continue
        if answer.status == 200:
            rows: list[dict[str, Any]] = answer.json()['deployments']
            return rows
    return []


def count_voters(fleet: Fleet) -> int:
    """
    Running replicas that count themselves among the voters.

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
