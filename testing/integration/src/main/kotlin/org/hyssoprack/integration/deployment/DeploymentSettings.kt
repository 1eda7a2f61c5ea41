package org.hyssoprack.integration.deployment

/**
 * Size of a deployment under test.
 *
 * @property tokenMs time between two tokens of an engine, in milliseconds.
 * @property hostListLagMs delay until a change of the host list is visible, in milliseconds.
 */
data class DeploymentSettings(
    val hosts: Int = 3,
    val engines: Int = 2,
    val services: Int = 2,
    val engineSlots: Int = 4,
    val tokenMs: Int = 10,
    val serviceLatencyMs: Int = 30,
    val hostListLagMs: Int = 1_000,
    val proxySeed: Long = 1,
    val policy: String = TestPolicy.TEXT
)
