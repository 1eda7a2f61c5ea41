package org.hyssoprack.serving.settings

import org.hyssoprack.common.ServiceId

/** A service and its [weight] in the split of a route's requests. */
data class ServiceShare(val service: ServiceId, val weight: Int)
