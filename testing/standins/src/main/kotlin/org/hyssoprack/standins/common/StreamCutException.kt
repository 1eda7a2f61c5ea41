package org.hyssoprack.standins.common

import java.io.IOException

/** Ends a stream without its end marker. */
internal class StreamCutException : IOException("the stream is cut on purpose")
