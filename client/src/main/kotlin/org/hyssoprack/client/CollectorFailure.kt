package org.hyssoprack.client

import kotlinx.coroutines.CancellationException

/** Carries what a collector of an answer has thrown past the handling of the connection's errors. */
internal class CollectorFailure(val thrown: Throwable) :
    CancellationException("the collector failed")
