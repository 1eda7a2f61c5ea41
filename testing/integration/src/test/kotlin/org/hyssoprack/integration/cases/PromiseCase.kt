package org.hyssoprack.integration.cases

import kotlinx.coroutines.CoroutineScope
import org.hyssoprack.integration.SharedDeployment
import org.hyssoprack.integration.audit.Promise

/** One test case of [promise] under [faults]; [run] asserts the results of its calls. */
internal class PromiseCase(
    val promise: Promise,
    val faults: Set<Fault>,
    val name: String,
    val run: suspend CoroutineScope.(SharedDeployment) -> Unit
)
