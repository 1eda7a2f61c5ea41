package org.hyssoprack.host

import org.hyssoprack.common.ClientAccount
import org.hyssoprack.common.Failure

/** Records how requests end, for metrics and reports. */
interface OutcomeRecorder {
    /** Records the end of an admitted request. */
    fun ended(request: AdmittedRequest, end: RequestEnd)

    /** Records a call that was refused before admission. */
    fun refused(failure: Failure, account: ClientAccount? = null)
}
