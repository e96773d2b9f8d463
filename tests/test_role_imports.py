"""
The daemon of each role imports only the modules that it uses: after a loss of power nothing is
served until the daemons have started, and imports take most of the start-up time.

"""

import subprocess
import sys

import pytest

LISTED_FLEET_MODULES = ('millforkd.entry', 'millforkd.endpoint', 'millfork_settings.models')
FORBIDDEN_MODULES = {
    'proxy': (
        *LISTED_FLEET_MODULES,
        'millforkd.replica',
        'millfork_state.replica',
        'millforkd.sidecar.daemon',
    ),
    'replica': (*LISTED_FLEET_MODULES, 'millforkd.proxy', 'millforkd.sidecar', 'millfork_weights'),
    'sidecar': (
        *LISTED_FLEET_MODULES,
        'millforkd.proxy',
        'millforkd.replica',
        'millfork_state.replica',
    ),
}


@pytest.mark.parametrize('role', FORBIDDEN_MODULES)
def test_a_role_imports_nothing_of_the_others(role):
    code = (
        'import sys, millforkd.core, millforkd.seeded_fleet, '
        f'millforkd.{role}.daemon; print(*sys.modules)'
    )
    done = subprocess.run(
        [sys.executable, '-c', code], capture_output=True, text=True, check=True
    )  # fmt: skip
    imported = done.stdout.split()
    assert f'millforkd.{role}.daemon' in imported
    forbidden = [name for name in imported if name.startswith(FORBIDDEN_MODULES[role])]
    assert forbidden == []
