"""
Settings and declarations: YAML files, read into validated models.

"""
