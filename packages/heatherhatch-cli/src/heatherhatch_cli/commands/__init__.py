"""Commands of the command-line client, one module per kind of object."""
