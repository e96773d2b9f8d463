"""
Every edit in the mutation lists matches exactly one place in the code, and its test exists.

"""

import pytest

from tests.fail_first import MUTATIONS, ROOT


@pytest.mark.parametrize('mutation', MUTATIONS, ids=lambda mutation: mutation.name)
def test_each_edit_finds_its_place(mutation):
    for edit in mutation.edits:
        assert (ROOT / edit.path).read_text().count(edit.old) == 1
    assert (ROOT / mutation.test.split('::', maxsplit=1)[0]).exists()
