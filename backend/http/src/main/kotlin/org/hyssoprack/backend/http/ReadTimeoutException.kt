package org.hyssoprack.backend.http

import java.io.IOException

/** No data arrived on a stream within the read timeout. */
internal class ReadTimeoutException : IOException("no data on the stream within the read timeout")
