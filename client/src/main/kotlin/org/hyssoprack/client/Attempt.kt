package org.hyssoprack.client

import org.hyssoprack.common.RequestId

/**
 * One sending of a call.
 *
 * @property isFirst true if the id was never sent before.
 */
internal data class Attempt(val host: EntryHost, val id: RequestId, val isFirst: Boolean)
