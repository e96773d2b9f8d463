"""
Experiments that measure millfork on the local machine. Only results of the same run are
comparable.

"""
