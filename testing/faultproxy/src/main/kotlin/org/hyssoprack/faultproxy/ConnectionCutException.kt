package org.hyssoprack.faultproxy

import java.io.IOException

/** Thrown to close both directions of a connection at once. */
internal class ConnectionCutException : IOException("connection closed by an injected fault")
