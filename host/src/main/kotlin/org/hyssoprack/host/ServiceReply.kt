package org.hyssoprack.host

import org.hyssoprack.backend.ServiceAnswer
import org.hyssoprack.common.ResultCode

/** A plain service's answer and whether it is fresh ([ResultCode.OK]) or recorded. */
data class ServiceReply(val code: ResultCode, val answer: ServiceAnswer)
