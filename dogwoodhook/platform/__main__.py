"""Runs a daemon on the users' platform."""

import signal


def main() -> None:
    """Ignore SIGHUP while the modules load: it would end a daemon that starts."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from dogwoodhook.platform.program import run

    run()


if __name__ == "__main__":
    main()
