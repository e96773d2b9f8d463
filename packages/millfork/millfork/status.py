"""
Rollouts, shown as they go.

"""

from typing import Any, Final

import curio
from rich.progress import BarColumn, Progress, TaskID, TextColumn, TimeElapsedColumn

from millfork.client import ControlClient
from millfork.models import Arguments, Environment
from millfork_core.status import ExitStatus
from millfork_web.models import Response

POLL_S: Final = 0.2


def line(row: dict[str, Any]) -> str:
    """
    One rollout as a line of text.

    """
    share = sum(item['share'] for item in row['instances']) / max(row['selected'], 1)
    return (
        f'{row["deployment"]}  {row["model"]} {row["model_version"]}  '
        f'{row["serving"]}/{row["selected"]} serving  {share:.0%} held'
    )


def is_done(rows: list[dict[str, Any]]) -> bool:
    return bool(rows) and all(row['serving'] == row['selected'] > 0 for row in rows)


async def watch(control: ControlClient, arguments: Arguments, env: Environment) -> ExitStatus:
    """
    Follow all rollouts until every selected instance serves.

    """
    with Progress(
        TextColumn('{task.description}'),
        BarColumn(),
        TextColumn('{task.completed}/{task.total}'),
        TimeElapsedColumn(),
    ) as progress:
        tasks: dict[str, TaskID] = {}
        try:
            async with curio.timeout_after(arguments.timeout):
                while True:
                    response = await control.ask('GET', 'status')
                    if response.status != 200:
                        return refuse(response, env)
                    rows = response.json()['deployments']
                    for row in rows:
                        _show(progress, tasks, row)
                    if is_done(rows):
                        return ExitStatus.SUCCESS
                    await curio.sleep(POLL_S)
        except curio.TaskTimeout:
            env.err(f'millfork: not done after {arguments.timeout:.0f} s')
            return ExitStatus.TIMED_OUT


def _show(progress: Progress, tasks: dict[str, TaskID], row: dict[str, Any]) -> None:
    name = f'{row["deployment"]} {row["model_version"]}'
    if name not in tasks:
        tasks[name] = progress.add_task(name, total=row['selected'])
    progress.update(tasks[name], completed=row['serving'], total=row['selected'])


def refuse(response: Response, env: Environment) -> ExitStatus:
    """
    Print a refusal and give its exit status.

    """
    try:
        body = response.json()
    except ValueError:
        body = {}
    reason = body.get('reason', f'status {response.status}')
    env.err(f'millfork: {reason}: {body.get("detail", "")}')
    statuses = {'conflict': ExitStatus.CONFLICT, 'invalid': ExitStatus.BAD_DECLARATION}
    return statuses.get(reason, ExitStatus.REFUSED)
