package org.hyssoprack.serving.settings

import org.hyssoprack.common.ServiceId

/** A service that gets [weight] parts of a route's requests. */
data class ServiceShare(val service: ServiceId, val weight: Int)
