"""
Case 1: a planned replacement of a core machine, then the loss of another one's disk.

"""

import os
import signal
import sys
import time
from pathlib import Path

from fleet import (
    BROKEN,
    CONTROL_PORT,
    HELD,
    NOT_RUN,
    CannotRun,
    Fleet,
    Operator,
    Record,
    call,
    wait_until,
)

HERE = Path(__file__).resolve().parent

# How long a machine that is new or has returned counts as lost (`catch_up_s` of the deployment).
CATCH_UP_S = 4.0
# How long a machine that lost its disk is down (`for_s` of `after_ack_wipe` is up to 3.0).
DOWN_S = 3.0
# From the end of the replaced machine to the loss of the disk. Any time up to 4 s shows the fault.
PAUSE_S = 2.0
# The fleet has `recover_s` = 12 after a return; the operator goes on asking for longer.
READ_WITHIN_S = 30.0


def document(version):
    route = {
        'name': 'r',
        'host': 'review.example',
        'path_prefix': '/review/',
        'kind': 'safe',
        'timeout_ms': 2000 + version,
        'target_latency_ms': 300,
        'priority': 1,
        'service': 'app',
        'max_attempts': 2,
        'public': True,
    }
    return {
        'version': version,
        'routes': [route],
        'services': [{'name': 'app', 'max_conns': 48}],
        'limits': {},
    }


def run(record, trouble):
    fleet = Fleet(record, entries=0)
    operator = Operator(fleet)
    try:
        fleet.start()
        if operator.put(document(1), 20).status != 200:
            raise CannotRun('the first configuration was not taken')
        old, second, third = fleet.replicas
        new = f'{fleet.net}.4'
        time.sleep(2.0)

        record.write(f'planned replacement: {new} comes, then {old} goes')
        fleet.replicas.append(new)
        fleet.start_process(new)
        time.sleep(CATCH_UP_S + 0.5)
        wait_until(
            lambda: call(new, CONTROL_PORT, 'GET', '/v1/Config.Get').status == 200,
            10,
            'the new machine reads the configuration back',
        )
        fleet.send_signal(old, signal.SIGTERM)
        if not fleet.wait_ended(old, 8):
            raise CannotRun('the old machine did not end in its grace period')
        fleet.replicas.remove(old)
        if operator.put(document(2), 10).status != 200:
            raise CannotRun('the second configuration was not acknowledged')

        time.sleep(PAUSE_S)
        if trouble:
            fleet.kill(third)
            fleet.lose_disk(third)
            time.sleep(DOWN_S)
            fleet.start_process(third)
        version = operator.get(READ_WITHIN_S)
        taken = operator.put(document(3), READ_WITHIN_S).status if version == 2 else 0
        for host in (second, third, new):
            for line in fleet.log_lines(host, 'Voters are now') + fleet.log_lines(
                host, 'Leader of'
            ):
                record.write(f'log of {host}: {line}')
        record.write(f'read back: {version}, acknowledged before: 2; version 3: {taken}')
        if version == 2 and taken == 200:
            return HELD
        record.write(f'BROKEN: the configuration did not come within {READ_WITHIN_S} s')
        return BROKEN
    finally:
        fleet.close()


def main():
    record = Record(HERE / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.write(f'trouble={trouble}')
    try:
        code = run(record, trouble)
    except (CannotRun, OSError) as error:
        record.write(f'could not run: {error}')
        code = NOT_RUN
    record.write(f'exit {code}')
    return code


if __name__ == '__main__':
    sys.exit(main())
