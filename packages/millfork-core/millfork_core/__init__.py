"""
Ids, verdicts, reasons, logs and metrics that all packages of millfork share.

"""
