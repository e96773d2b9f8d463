"""
HTTP/1.1 on curio by h11: server, client, problem bodies.

"""
