"""wasabipaddle, a cluster scheduler for services, batch work and gangs."""

__all__ = ["__version__"]

__version__ = "0.1.0"
