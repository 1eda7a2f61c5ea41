package org.hyssoprack.host

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.Failure

/** Takes note of how requests end, for metrics and reports. */
interface OutcomeRecorder {
    /** Notes the end of an admitted request. */
    fun ended(request: AdmittedRequest, end: RequestEnd)

    /** Notes a call that was refused before it was admitted. */
    fun refused(failure: Failure, account: ClientAccount? = null)
}
