package org.hyssoprack.gateway.netty

/** A request has more than [maxLines] header lines or trailer lines. */
internal class TooManyLinesException(val maxLines: Int) :
    RuntimeException("more than $maxLines lines", null, false, false)
