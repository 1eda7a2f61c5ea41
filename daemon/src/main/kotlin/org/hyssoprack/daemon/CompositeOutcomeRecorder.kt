package org.hyssoprack.daemon

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.Failure
import org.hyssoprack.host.AdmittedRequest
import org.hyssoprack.host.OutcomeRecorder
import org.hyssoprack.host.RequestEnd

/** Forwards each recorded outcome to several recorders. */
internal class CompositeOutcomeRecorder(private val recorders: List<OutcomeRecorder>) :
    OutcomeRecorder {
    override fun ended(request: AdmittedRequest, end: RequestEnd) =
        recorders.forEach { it.ended(request, end) }

    override fun refused(failure: Failure, account: ClientAccount?) =
        recorders.forEach { it.refused(failure, account) }
}
