"""
The commands that show, order and end the evacuation of zones in a seeded fleet.

"""

import json
from datetime import UTC, datetime
from urllib.parse import quote

from millfork.client import AdminClient
from millfork.models import Arguments, Environment
from millfork.status import report_refusal
from millfork.tables import format_rows
from millfork_core.status import ExitStatus


async def evacuations(arguments: Arguments, env: Environment) -> ExitStatus:
    """
    List the evacuated zones, and since when each one is.

    """
    response = await AdminClient(arguments).request('GET', '/evacuations')
    if response.status != 200:
        return report_refusal(response, env)
    body = response.json()
    if arguments.json:
        env.out(json.dumps(body))
        return ExitStatus.SUCCESS
    env.out(f'revision {body["revision"]}, known {body["age_ms"]} ms ago')
    rows = [(row['zone'], _format_moment(row['since_ms'])) for row in body['evacuations']]
    for line in format_rows(('ZONE', 'SINCE'), rows) if rows else ['no zone is evacuated']:
        env.out(line)
    return ExitStatus.SUCCESS


def _format_moment(since_ms: int) -> str | None:
    """
    A moment in ms since 1970 as text; None if it is unknown.

    """
    if not since_ms:
        return None
    return datetime.fromtimestamp(since_ms / 1000, UTC).isoformat(timespec='seconds')


async def evacuate(arguments: Arguments, env: Environment) -> ExitStatus:
    """
    Order the evacuation of a zone, or with `--undo` take it back.

    """
    zone = arguments.operands[0]
    method = 'DELETE' if arguments.undo else 'POST'
    path = f'/evacuations/{quote(zone, safe="")}'
    response = await AdminClient(arguments).request(method, path)
    if response.status != 200:
        return report_refusal(response, env)
    if arguments.json:
        env.out(json.dumps(response.json()))
        return ExitStatus.SUCCESS
    env.out(f'zone {zone} {"taken back" if arguments.undo else "evacuated"}')
    return ExitStatus.SUCCESS
