package org.hyssoprack.integration

import assertk.assertThat
import assertk.assertions.isEmpty
import java.nio.file.Files
import kotlinx.coroutines.runBlocking
import net.jqwik.api.Example
import org.hyssoprack.integration.schedule.RandomRun
import org.hyssoprack.integration.schedule.RandomRunSettings

class RandomFaultTest {
    @Example
    fun `no promise is broken under fixed random schedules of faults`() = SEEDS.forEach { seed ->
        val directory = Files.createTempDirectory("hyssoprack-it")
        val settings = RandomRunSettings(seed = seed, requests = REQUESTS, faults = FAULTS)
        val report = runBlocking { RandomRun(settings, directory).run() }
        println("seed $seed, logs in $directory\n${report.text()}")
        val command = "bin/long-run --seed $seed --requests $REQUESTS --faults $FAULTS --rate 40"
        assertThat(report.violations, "$command, logs in $directory").isEmpty()
    }

    private companion object {
        const val REQUESTS = 300
        const val FAULTS = 12
        val SEEDS = listOf(1L)
    }
}
