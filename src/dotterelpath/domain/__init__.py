"""Decision logic, independent of sockets, clocks and encodings."""
