"""
After a loss of power nothing is served until daemons have started, and most of a start is
imports. Each role imports only what it runs.

"""

import subprocess
import sys

import pytest

LISTED = ('millforkd.entry', 'millforkd.endpoint', 'millfork_settings.models')
OTHERS = {
    'proxy': (*LISTED, 'millforkd.replica', 'millfork_state.replica', 'millforkd.sidecar.daemon'),
    'replica': (*LISTED, 'millforkd.proxy', 'millforkd.sidecar', 'millfork_weights'),
    'sidecar': (*LISTED, 'millforkd.proxy', 'millforkd.replica', 'millfork_state.replica'),
}


@pytest.mark.parametrize('role', OTHERS)
def test_a_role_imports_nothing_of_the_others(role):
    code = (
        'import sys, millforkd.core, millforkd.seeded_fleet, '
        f'millforkd.{role}.daemon; print(*sys.modules)'
    )
    done = subprocess.run(
        [sys.executable, '-c', code], capture_output=True, text=True, check=True
    )  # fmt: skip
    loaded = done.stdout.split()
    assert f'millforkd.{role}.daemon' in loaded
    foreign = [name for name in loaded if name.startswith(OTHERS[role])]
    assert foreign == []
