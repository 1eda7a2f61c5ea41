package org.hyssoprack.standins.engine

import kotlinx.serialization.Serializable

/** State of a request on an emulated engine. */
@Serializable
internal enum class RunState { QUEUED, PREFILL, DECODE, SUSPENDED, ENDED }
