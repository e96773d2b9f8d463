"""
How requests wait, are turned away, are placed and come back.

Decisions only: no sockets, tasks or clocks of their own. Each module opens with the load
that it answers. `millforkd` asks them, and so does the model of engines in the bench.

"""
