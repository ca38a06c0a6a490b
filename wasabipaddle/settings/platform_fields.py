"""Settings that follow from the tables of the platform in a settings file."""

import yaml

from wasabipaddle.platform.settings import OPTIONAL_SETTINGS

__all__ = ["include_platform_fields"]

KEY = "platform_fields"
STRING_TAG = "tag:yaml.org,2002:str"
NULL_TAG = "tag:yaml.org,2002:null"


def include_platform_fields(root, reader):
    """Replace the tables of the platform by the settings that follow from them.

    A field that is absent or null gives no setting, a setting that the file has itself
    is kept, and other fields are ignored.

    Parameters
    ----------
    root : yaml.Node
        Root of the settings file, which is changed.
    reader : Reader
        Collects the problems of the file.
    """
    tables = _find(root, KEY)
    if tables is None:
        return
    root.value = [pair for pair in root.value if pair[1] is not tables]
    if not isinstance(tables, yaml.MappingNode):
        reader.report(tables.start_mark.line + 1, KEY, "not a mapping", "a mapping")
        return
    for setting in OPTIONAL_SETTINGS:
        value = _find(tables, setting.field)
        if value is not None and _applies(setting, tables):
            _set_default(root, setting.key, _with_unit(value, setting.unit))


def _find(node, path):
    """Return the node at a path of keys; None if it is absent or null."""
    for name in path.split("."):
        if not isinstance(node, yaml.MappingNode):
            return None
        node = next((value for key, value in node.value if key.value == name), None)
    return None if node is None or node.tag == NULL_TAG else node


def _applies(setting, tables):
    if not setting.condition:
        return True
    condition = _find(tables, setting.condition)
    return condition is not None and condition.value != "false"


def _with_unit(node, unit):
    """Return a value with its unit; a value that is not a scalar is left as it is."""
    if not isinstance(node, yaml.ScalarNode):
        return node
    return _scalar(node.value + unit, node)


def _set_default(root, path, value):
    """Set the value at a path of keys unless the path has one."""
    section, _, name = path.rpartition(".")
    if section and _find(root, section) is None:
        root.value.append((_scalar(section, value), _mapping_at(value)))
    parent = _find(root, section) if section else root
    if isinstance(parent, yaml.MappingNode) and _find(parent, name) is None:
        parent.value.append((_scalar(name, value), value))


def _scalar(text, place):
    return yaml.ScalarNode(STRING_TAG, text, place.start_mark, place.end_mark)


def _mapping_at(place):
    tag = "tag:yaml.org,2002:map"
    return yaml.MappingNode(tag, [], place.start_mark, place.end_mark)
