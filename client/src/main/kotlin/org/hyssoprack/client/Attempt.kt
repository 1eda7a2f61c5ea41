package org.hyssoprack.client

import org.hyssoprack.common.RequestId

/**
 * One attempt of a call, sent to [host] with request id [id].
 *
 * @property isFirst true if no earlier attempt used the id.
 */
internal data class Attempt(val host: EntryHost, val id: RequestId, val isFirst: Boolean)
