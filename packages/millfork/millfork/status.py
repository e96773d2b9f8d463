"""
Shows the progress of rollouts.

"""

from typing import Any, Final

import curio
from rich.progress import BarColumn, Progress, TaskID, TextColumn, TimeElapsedColumn

from millfork.client import ControlClient
from millfork.models import Arguments, Environment
from millfork_core.status import ExitStatus
from millfork_web.models import Response

POLL_INTERVAL_S: Final = 0.2


def format_rollout(row: dict[str, Any]) -> str:
    """
    Format one rollout as a line of text.

    """
    held_share = sum(instance['share'] for instance in row['instances']) / max(row['selected'], 1)
    return (
        f'{row["deployment"]}  {row["model"]} {row["model_version"]}  '
        f'{row["serving"]}/{row["selected"]} serving  {held_share:.0%} held'
    )


def all_serve(rows: list[dict[str, Any]]) -> bool:
    return bool(rows) and all(row['serving'] == row['selected'] > 0 for row in rows)


async def watch(control: ControlClient, arguments: Arguments, env: Environment) -> ExitStatus:
    """
    Show the progress of all rollouts until every selected instance serves its version, until
    `arguments.timeout` seconds have passed, or until the status request is refused.

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
                    response = await control.request('GET', 'status')
                    if response.status != 200:
                        return report_refusal(response, env)
                    rows = response.json()['deployments']
                    for row in rows:
                        _update_progress(progress, tasks, row)
                    if all_serve(rows):
                        return ExitStatus.SUCCESS
                    await curio.sleep(POLL_INTERVAL_S)
        except curio.TaskTimeout:
            env.err(f'millfork: the rollouts are not finished after {arguments.timeout:.0f} s')
            return ExitStatus.TIMED_OUT


def _update_progress(progress: Progress, tasks: dict[str, TaskID], row: dict[str, Any]) -> None:
    name = f'{row["deployment"]} {row["model_version"]}'
    if name not in tasks:
        tasks[name] = progress.add_task(name, total=row['selected'])
    progress.update(tasks[name], completed=row['serving'], total=row['selected'])


def report_refusal(response: Response, env: Environment) -> ExitStatus:
    """
    Print a refusal and return the exit status for its reason.

    """
    try:
        body = response.json()
    except ValueError:
        body = {}
    reason = body.get('reason', f'status {response.status}')
    env.err(f'millfork: {reason}: {body.get("detail") or body.get("error", "")}')
    statuses = {
        'conflict': ExitStatus.CONFLICT,
        'invalid': ExitStatus.BAD_DECLARATION,
        'bad_request': ExitStatus.USAGE,
    }
    return statuses.get(reason, ExitStatus.REFUSED)
