package org.hyssoprack.client

import kotlinx.coroutines.CancellationException

/**
 * Wraps an exception that the collector of an answer threw, so that it is not handled as an error
 * of the connection.
 */
internal class CollectorFailure(val thrown: Throwable) :
    CancellationException("the collector failed")
