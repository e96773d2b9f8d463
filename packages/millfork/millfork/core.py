"""
The story of a command: parse, ask an entry, print, exit status.

"""

import json
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Final

import curio

from millfork.cli.argtypes import BadArgument, parse_labels
from millfork.cli.constants import USAGE
from millfork.client import ControlClient, Unreachable
from millfork.explain import Ended, read, table
from millfork.models import Arguments, Environment
from millfork.status import line, refuse, watch
from millfork_core.status import ExitStatus
from millfork_settings.declarations import Declaration
from millfork_settings.errors import BadFile
from millfork_settings.loading import load, read_yaml
from millfork_settings.models import Settings

Command = Callable[[Arguments, Environment], Awaitable[ExitStatus]]
OPERANDS: Final = {
    'apply': 1,
    'remove': 1,
    'drain': 1,
    'check': 1,
    'status': 0,
}


def run(arguments: Arguments, env: Environment) -> ExitStatus:
    """
    Run one command.

    """
    command = COMMANDS.get(arguments.command)
    if command is None:
        env.err(USAGE)
        return ExitStatus.USAGE
    wanted = OPERANDS.get(arguments.command)
    if wanted is not None and len(arguments.operands) != wanted:
        env.err(f'millfork: {arguments.command} takes {wanted} argument(s); see --help')
        return ExitStatus.USAGE
    try:
        status: ExitStatus = curio.run(command, arguments, env)
    except BadFile as error:
        env.err(str(error))
        return ExitStatus.BAD_DECLARATION
    except BadArgument as error:
        env.err(f'millfork: {error}')
        return ExitStatus.USAGE
    except Unreachable as error:
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
        raise BadArgument('label INSTANCE KEY=VALUE ... expected')
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
    response = await ControlClient(arguments).ask('POST', 'apply', body)
    if response.status != 200:
        return refuse(response, env)
    env.out(f'accepted as revision {response.json()["revision"]}')
    return ExitStatus.SUCCESS


async def get(arguments: Arguments, env: Environment) -> ExitStatus:
    response = await ControlClient(arguments).ask('GET', 'state')
    if response.status != 200:
        return refuse(response, env)
    prefix = arguments.operands[0] if arguments.operands else ''
    state = response.json()
    items = {key: item for key, item in state['items'].items() if key.startswith(prefix)}
    if arguments.json:
        env.out(json.dumps({'revision': state['revision'], 'items': items}))
        return ExitStatus.SUCCESS
    env.out(f'revision {state["revision"]}')
    for key, item in sorted(items.items()):
        env.out(f'{key}  (revision {item["revision"]})  {json.dumps(item["value"])}')
    return ExitStatus.SUCCESS


async def status(arguments: Arguments, env: Environment) -> ExitStatus:
    control = ControlClient(arguments)
    if arguments.watch:
        return await watch(control, arguments, env)
    response = await control.ask('GET', 'status')
    if response.status != 200:
        return refuse(response, env)
    body = response.json()
    if arguments.json:
        env.out(json.dumps(body))
        return ExitStatus.SUCCESS
    env.out(f'revision {body["revision"]}')
    for row in body['deployments']:
        env.out(line(row))
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
        raise BadArgument('explain LOG ... expected')
    requests: list[Ended] = []
    for name in arguments.operands:
        try:
            with Path(name).open(errors='replace') as log:
                requests += read(log)
        except OSError as error:
            env.err(f'millfork: {error}')
            return ExitStatus.ERROR
    if not requests:
        env.err('millfork: no request ended in these logs')
        return ExitStatus.ERROR
    for row in table(requests, arguments.every):
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
}
