"""Tests of the names of events, by which circuits finds handlers."""

import importlib
import inspect
import pkgutil
from collections import defaultdict

import pytest
from circuits import BaseComponent, Event

import wagtailfront


def package_classes():
    """Return the classes that the package's modules define."""
    modules = [
        importlib.import_module(info.name)
        for info in pkgutil.walk_packages(wagtailfront.__path__, "wagtailfront.")
        if ".tests" not in info.name and not info.name.endswith("_pb2")
    ]
    return [
        member
        for module in modules
        for _name, member in inspect.getmembers(module, inspect.isclass)
        if member.__module__ == module.__name__
    ]


def names_handled_on_all_channels(classes):
    """Return the names of events with a handler on channel "*"."""
    return {
        name
        for component in classes
        if issubclass(component, BaseComponent)
        for _name, method in inspect.getmembers(component, inspect.isfunction)
        if getattr(method, "channel", None) == "*"
        for name in method.names
    }


def test_an_event_handled_on_all_channels_shares_its_name_with_no_other():
    """Guards handlers against events that belong to another component."""
    classes = package_classes()
    events = defaultdict(set)
    for event in classes:
        if issubclass(event, Event):
            events[event.__name__].add(event.__module__)
    handled = names_handled_on_all_channels(classes)
    assert "members_changed" in handled
    shared = {name: events[name] for name in handled if len(events[name]) > 1}
    assert shared == {}


@pytest.mark.parametrize("kind", [Event, BaseComponent])
def test_the_search_finds_classes(kind):
    """Guards the test above against a search that finds nothing."""
    assert sum(issubclass(found, kind) for found in package_classes()) > 20
