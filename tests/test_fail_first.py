"""
Each mutation edits a text that occurs exactly once in the code, and names an existing test file.

"""

import pytest

from tests.fail_first import MUTATIONS, ROOT


@pytest.mark.parametrize('mutation', MUTATIONS, ids=lambda mutation: mutation.name)
def test_each_mutation_matches_code_and_test(mutation):
    for edit in mutation.edits:
        assert (ROOT / edit.path).read_text().count(edit.old) == 1
    assert (ROOT / mutation.test.split('::', maxsplit=1)[0]).exists()
