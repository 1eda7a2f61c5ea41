package org.hyssoprack.backend.http

import java.io.IOException

/** A stream sent nothing for too long. */
internal class ReadTimeoutException : IOException("the stream sent nothing for too long")
