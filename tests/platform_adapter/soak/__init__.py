"""A randomised soak test of daemons that run as processes, with injected faults.

::

    python -m tests.platform_adapter.soak --seed 7 --seconds 60
    python -m tests.platform_adapter.soak --seed 100 --count 50 --seconds 20
    python -m tests.platform_adapter.soak --seed 3 --daemons 40 --callers 100

Each daemon runs as a process; the store and the targets are simulated in the soak's
own process. Callers send one request at a time on a connection, or pipeline several,
and use the connection until it is closed. Some callers leave early, and some connect
through a relay. Signals stop, pause, kill and restart daemons. Relays delay, cut, reset
and silence their connections. Targets and the store misbehave, the store at times
towards some daemons only. Several series of faults run at the same time. ``records``
defines the promises and checks them against what callers and targets saw.
"""
