"""Pure decisions over data classes; clock and random source are arguments."""
