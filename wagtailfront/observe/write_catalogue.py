"""Write the page that lists all metrics."""

import pathlib

from wagtailfront.observe.metrics import catalogue

__all__ = ["PAGE"]

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "metrics.md"

if __name__ == "__main__":
    PAGE.write_text(catalogue())
