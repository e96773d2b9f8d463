"""
The endpoint role of a listed fleet (one whose instances the platform lists): a daemon that admits
requests to the engine or plain service of its instance.

"""
