"""Runs a daemon on the users' platform."""

import gc
import os
import signal


def main() -> None:
    """Ignore SIGHUP while the modules load: it would end a daemon that starts."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # aiohttp makes TLS contexts at import, and OpenSSL parses the system's
    # certificates for them; no connection of the daemon uses TLS.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    gc.disable()
    from dogwoodhook.platform.program import run

    # Modules live as long as the process, so no collection needs to visit them.
    gc.freeze()
    gc.enable()
    run()


if __name__ == "__main__":
    main()
