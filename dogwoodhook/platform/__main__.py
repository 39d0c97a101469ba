"""Runs a daemon on the users' platform."""

import gc
import os
import signal


def main() -> None:
    """Run the daemon.

    SIGHUP is ignored from the start, because its default action would end the process
    while the modules load.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # aiohttp creates TLS contexts at import, for which OpenSSL would parse the system's
    # certificates. No connection of the daemon uses TLS.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    gc.disable()
    from dogwoodhook.platform.program import run

    # Loaded modules live as long as the process, so garbage collection can skip them.
    gc.freeze()
    gc.enable()
    run()
    # The teardown of the interpreter would outlast the grace period on a slow VM. The
    # log has been flushed.
    os._exit(os.EX_OK)


if __name__ == "__main__":
    main()
