package org.hyssoprack.integration

import assertk.assertThat
import assertk.assertions.isEqualTo
import kotlinx.coroutines.runBlocking
import net.jqwik.api.Example
import org.hyssoprack.integration.audit.Promise
import org.hyssoprack.integration.caller.CallKind
import org.hyssoprack.integration.deployment.DeploymentSettings
import org.hyssoprack.standins.engine.EngineFaults

class DoubleRunTest {
    @Example
    fun `the audit finds a request that an engine runs twice on purpose`() {
        val settings = DeploymentSettings(hosts = 1, engines = 1, services = 1)
        SharedDeployment(settings).use { shared ->
            shared.deployment.start()
            shared.deployment.backends.setEngineFaults("e1", EngineFaults(doubleRunNext = 1))
            runBlocking { shared.call(shared.spec(CallKind.LETTER)) }
            val broken = shared.violations().map { it.promise }.distinct()
            assertThat(broken).isEqualTo(listOf(Promise.AT_MOST_ONCE))
        }
    }
}
