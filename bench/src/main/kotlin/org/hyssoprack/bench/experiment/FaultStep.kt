package org.hyssoprack.bench.experiment

import kotlinx.serialization.Serializable
import org.hyssoprack.standins.engine.EngineFaults

/**
 * A fault injected at [atS] seconds of the counted time.
 *
 * @property process name of the affected engine or host.
 * @property faults engine faults to inject; null to kill the process instead.
 */
@Serializable
data class FaultStep(val atS: Double, val process: String, val faults: EngineFaults? = null)
