"""
The commands of `millfork`. Each prints its result and returns an exit status.

"""

import json
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Final

import curio

from millfork.cli.argtypes import BadArgument, parse_labels
from millfork.cli.constants import USAGE
from millfork.client import ControlClient, NoEntryReachable
from millfork.evacuations import evacuate, evacuations
from millfork.explain import EndedRequest, format_table, read_ended_requests
from millfork.models import Arguments, Environment
from millfork.route import route
from millfork.status import format_rollout, report_refusal, watch
from millfork_core.status import ExitStatus
from millfork_settings.declarations import Declaration
from millfork_settings.errors import BadFile
from millfork_settings.loading import load, read_yaml
from millfork_settings.models import Settings

Command = Callable[[Arguments, Environment], Awaitable[ExitStatus]]
OPERAND_COUNTS: Final = {
    'apply': 1,
    'remove': 1,
    'drain': 1,
    'check': 1,
    'status': 0,
    'route': 2,
    'evacuations': 0,
    'evacuate': 1,
}


def run(arguments: Arguments, env: Environment) -> ExitStatus:
    """
    Run one command. Errors are printed and turned into exit statuses.

    """
    command = COMMANDS.get(arguments.command)
    if command is None:
        env.err(USAGE)
        return ExitStatus.USAGE
    expected_count = OPERAND_COUNTS.get(arguments.command)
    if expected_count is not None and len(arguments.operands) != expected_count:
        env.err(f'millfork: {arguments.command} takes {expected_count} argument(s); see --help')
        return ExitStatus.USAGE
    try:
        status: ExitStatus = curio.run(command, arguments, env)
    except BadFile as error:
        env.err(str(error))
        return ExitStatus.BAD_DECLARATION
    except BadArgument as error:
        env.err(f'millfork: {error}')
        return ExitStatus.USAGE
    except NoEntryReachable as error:
        env.err(f'millfork: {error}')
        return ExitStatus.UNREACHABLE
    return status


async def apply(arguments: Arguments, env: Environment) -> ExitStatus:
    declaration = load(Path(arguments.operands[0]), Declaration)
    return await _send(arguments, env, declaration.model_dump(mode='json'))


async def remove(arguments: Arguments, env: Environment) -> ExitStatus:
    return await _send(arguments, env, {}, [arguments.operands[0]])


async def label(arguments: Arguments, env: Environment) -> ExitStatus:
    if len(arguments.operands) < 2:
        raise BadArgument('expected: label INSTANCE KEY=VALUE ...')
    labels = parse_labels(arguments.operands[1:])
    return await _send(arguments, env, {'labels': {arguments.operands[0]: labels}})


async def drain(arguments: Arguments, env: Environment) -> ExitStatus:
    return await _send(arguments, env, {'drains': {arguments.operands[0]: not arguments.undo}})


async def _send(
    arguments: Arguments,
    env: Environment,
    declaration: dict[str, Any],
    remove: list[str] | None = None,
) -> ExitStatus:
    if arguments.organisation:
        declaration = {**declaration, 'organisation': arguments.organisation}
    body = {
        'declaration': declaration,
        'command_id': arguments.command_id or uuid.uuid4().hex,
        'expect': arguments.expect,
        'remove': remove or [],
    }
    response = await ControlClient(arguments).request('POST', 'apply', body)
    if response.status != 200:
        return report_refusal(response, env)
    env.out(f'accepted as revision {response.json()["revision"]}')
    return ExitStatus.SUCCESS


async def get(arguments: Arguments, env: Environment) -> ExitStatus:
    response = await ControlClient(arguments).request('GET', 'state')
    if response.status != 200:
        return report_refusal(response, env)
    prefix = arguments.operands[0] if arguments.operands else ''
    state = response.json()
    records = {key: record for key, record in state['items'].items() if key.startswith(prefix)}
    if arguments.json:
        env.out(json.dumps({'revision': state['revision'], 'items': records}))
        return ExitStatus.SUCCESS
    env.out(f'revision {state["revision"]}')
    for key, record in sorted(records.items()):
        env.out(f'{key}  (revision {record["revision"]})  {json.dumps(record["value"])}')
    return ExitStatus.SUCCESS


async def status(arguments: Arguments, env: Environment) -> ExitStatus:
    control = ControlClient(arguments)
    if arguments.watch:
        return await watch(control, arguments, env)
    response = await control.request('GET', 'status')
    if response.status != 200:
        return report_refusal(response, env)
    body = response.json()
    if arguments.json:
        env.out(json.dumps(body))
        return ExitStatus.SUCCESS
    env.out(f'revision {body["revision"]}')
    for row in body['deployments']:
        env.out(format_rollout(row))
    return ExitStatus.SUCCESS


async def check(arguments: Arguments, env: Environment) -> ExitStatus:
    path = Path(arguments.operands[0])
    content = read_yaml(path)
    is_settings = isinstance(content, dict) and 'role' in content
    try:
        load(path, Settings if is_settings else Declaration)
    except BadFile as error:
        env.err(str(error))
        return ExitStatus.BAD_SETTINGS if is_settings else ExitStatus.BAD_DECLARATION
    env.out(f'{path}: good')
    return ExitStatus.SUCCESS


async def explain(arguments: Arguments, env: Environment) -> ExitStatus:
    if not arguments.operands:
        raise BadArgument('expected: explain LOG ...')
    requests: list[EndedRequest] = []
    for name in arguments.operands:
        try:
            with Path(name).open(errors='replace') as log:
                requests += read_ended_requests(log)
        except OSError as error:
            env.err(f'millfork: {error}')
            return ExitStatus.ERROR
    if not requests:
        env.err('millfork: these logs contain no ended request')
        return ExitStatus.ERROR
    for row in format_table(requests, arguments.every):
        env.out(row)
    return ExitStatus.SUCCESS


COMMANDS: Final[dict[str, Command]] = {
    'apply': apply,
    'remove': remove,
    'get': get,
    'label': label,
    'status': status,
    'drain': drain,
    'check': check,
    'explain': explain,
    'route': route,
    'evacuations': evacuations,
    'evacuate': evacuate,
}
