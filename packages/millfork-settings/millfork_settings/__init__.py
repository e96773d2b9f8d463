"""
Settings and declarations: YAML in, validated models out.

"""
