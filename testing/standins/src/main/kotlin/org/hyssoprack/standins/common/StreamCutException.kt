package org.hyssoprack.standins.common

import java.io.IOException

/** Thrown to end a stream without its end marker. */
internal class StreamCutException : IOException("stream cut by an injected fault")
