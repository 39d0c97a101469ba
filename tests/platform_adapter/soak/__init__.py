"""A randomised soak of real daemons, disturbed from outside.

::

    python -m tests.platform_adapter.soak --seed 7 --seconds 60
    python -m tests.platform_adapter.soak --seed 100 --count 50 --seconds 20
    python -m tests.platform_adapter.soak --seed 3 --daemons 40 --callers 100

Daemons are processes of their own; the store and the targets are stand-ins. Callers
send one request at a time on a connection, or several before they read, and use it
until it is closed; some leave early, some come through a relay. Signals stop, pause,
kill and restart daemons, relays delay, cut, reset and silence their connections, and
the stand-ins misbehave, the store towards some daemons only, in series that overlap.
``records`` tells what must hold, from what callers and targets saw.
"""
