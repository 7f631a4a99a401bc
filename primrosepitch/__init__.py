"""Fleet capacity and maintenance manager: a library of coordination parts."""

__version__ = "0.1.0"
