"""
Ids, verdicts, reasons, logs and metrics shared by every part of millfork.

"""
