"""
Transfer and storage of model weights: manifests, verified files, distribution trees.

"""
