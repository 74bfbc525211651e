"""Structured logs in JSON on standard error."""

from __future__ import annotations

import logging
import sys

import structlog

LEVELS = ("debug", "info", "warning", "error")


def configure(level: str) -> None:
    """Sets up structlog for the whole process.

    Args:
        level: The least severe level that is logged.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(default=str),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelName(level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
