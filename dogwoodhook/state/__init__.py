"""Pure decision logic on data classes; time and random source are arguments."""
