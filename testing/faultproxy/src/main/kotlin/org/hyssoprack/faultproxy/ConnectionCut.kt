package org.hyssoprack.faultproxy

import java.io.IOException

/** Ends both directions of a connection at once. */
internal class ConnectionCut : IOException("cut by a fault")
