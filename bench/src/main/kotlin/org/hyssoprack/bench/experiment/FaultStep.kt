package org.hyssoprack.bench.experiment

import kotlinx.serialization.Serializable
import org.hyssoprack.standins.engine.EngineFaults

/**
 * A fault at a moment of the counted time.
 *
 * @property process name of the engine or host that it befalls.
 * @property faults faults of an engine to switch on; null to end the process instead.
 */
@Serializable
data class FaultStep(val atS: Double, val process: String, val faults: EngineFaults? = null)
