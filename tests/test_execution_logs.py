"""
Reading of the execution logs of stand-in back ends that are still running.

"""

from millfork_standins.execution_log import ExecutionLog, read_executions


def test_a_line_that_is_still_being_written_is_not_read(tmp_path):
    path = tmp_path / 'executions'
    log = ExecutionLog(path)
    log.write(kind='begin', nonce='first')
    log.file.write('{"kind": "begin", "nonce": "sec')
    log.file.flush()
    assert read_executions(path) == [{'kind': 'begin', 'nonce': 'first'}]
    log.file.write('ond"}\n')
    log.file.flush()
    assert [line['nonce'] for line in read_executions(path)] == ['first', 'second']


def test_a_log_without_a_whole_line_is_empty(tmp_path):
    path = tmp_path / 'executions'
    assert read_executions(path) == []
    path.write_text('{"kind": ')
    assert read_executions(path) == []
