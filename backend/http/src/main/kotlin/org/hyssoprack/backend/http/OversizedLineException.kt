package org.hyssoprack.backend.http

import java.io.IOException

/** A line of an event stream is longer than is accepted. */
internal class OversizedLineException : IOException("a line of the event stream is too long")
