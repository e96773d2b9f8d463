"""
The daemon's command line.

"""
