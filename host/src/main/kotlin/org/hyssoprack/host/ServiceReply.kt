package org.hyssoprack.host

import org.hyssoprack.backend.ServiceAnswer
import org.hyssoprack.common.ResultCode

/** A plain service's response; [code] is [ResultCode.OK_RECORDED] if it repeats a recorded one. */
data class ServiceReply(val code: ResultCode, val answer: ServiceAnswer)
