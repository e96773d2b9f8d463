"""
The command that shows where a request would go now, and why.

"""

import json
from typing import Any
from urllib.parse import urlencode

from millfork.client import AdminClient
from millfork.models import Arguments, Environment
from millfork.status import report_refusal
from millfork.tables import format_rows
from millfork_core.status import ExitStatus

TITLES = (
    'BACK END',
    'ZONE',
    'REGION',
    'TAKEN',
    'VERSION',
    'EXPECTED MS',
    'PASSED OVER',
    'OPENS MS',
)


async def route(arguments: Arguments, env: Environment) -> ExitStatus:
    """
    Ask an entry where a request would go now. Succeeds also if the request would be refused.

    """
    host, path = arguments.operands
    query = [('host', host), ('path', path), ('prompt_tokens', arguments.prompt_tokens)]
    if arguments.api_key:
        query.append(('key', arguments.api_key))
    if arguments.model:
        query.append(('model', arguments.model))
    query += [('part', part) for part in arguments.parts]
    response = await AdminClient(arguments).request('GET', f'/route?{urlencode(query)}')
    if response.status != 200:
        return report_refusal(response, env)
    body = response.json()
    for line in [json.dumps(body)] if arguments.json else format_route(body):
        env.out(line)
    return ExitStatus.SUCCESS


def format_route(body: dict[str, Any]) -> list[str]:
    """
    Format an entry's answer as lines of text.

    """
    regions = body['regions']
    facts = [
        ('request', f'{body["host"]} {body["path"]}'),
        ('known', f'{body["age_ms"]} ms ago, document {_or_dash(body["document"])}'),
        ('route', _or_dash(body['route'])),
        ('organisation', _or_dash(body['organisation'])),
        ('service', _format_service(body)),
        ('regions', 'any' if regions is None else ', '.join(regions) or 'none'),
        ('evacuated zones', ', '.join(body['evacuated_zones']) or 'none'),
    ]
    lines = [f'{name:<16}{value}' for name, value in facts]
    if body['servers']:
        lines += format_rows(TITLES, [_server_row(row) for row in body['servers']])
    return [*lines, _format_result(body)]


def _or_dash(value: object) -> str:
    return '-' if value is None else str(value)


def _format_service(body: dict[str, Any]) -> str:
    shares = body['shares']
    if len(shares) < 2:
        return _or_dash(body['service'])
    weights = ', '.join(f'{service} {weight}' for service, weight in shares.items())
    return f'{_or_dash(body["service"])} (drawn by weight: {weights})'


def _server_row(row: dict[str, Any]) -> tuple[object, ...]:
    return (
        row['instance'],
        row['zone'],
        row['region'],
        f'{row["occupied"]}/{row["slots"]}',
        row['version'],
        row['expected_ms'],
        row['passed_over'],
        row['opens_in_ms'],
    )


def _format_result(body: dict[str, Any]) -> str:
    refusal = body['refusal']
    if refusal is not None:
        wait = f', retry after {refusal["retry_after_ms"]} ms' if refusal['retry_after_ms'] else ''
        return f'refused: {refusal["reason"]}: {refusal["detail"]}{wait}'
    choice = body['choice']
    wait_ms = choice['expected_wait_ms']
    wait = f', expected wait {wait_ms} ms' if wait_ms is not None else ''
    return f'choice: {" then ".join(choice["servers"])}{wait}'
