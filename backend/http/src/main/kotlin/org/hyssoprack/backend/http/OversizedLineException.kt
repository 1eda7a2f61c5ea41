package org.hyssoprack.backend.http

import java.io.IOException

/** A line of an event stream exceeds the maximum length. */
internal class OversizedLineException(limitBytes: Int) :
    IOException("event stream line exceeds the limit of $limitBytes bytes")
