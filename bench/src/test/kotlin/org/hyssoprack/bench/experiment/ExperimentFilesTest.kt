package org.hyssoprack.bench.experiment

import assertk.assertThat
import assertk.assertions.isEqualTo
import assertk.assertions.isGreaterThan
import assertk.assertions.isIn
import assertk.assertions.isNotNull
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.nameWithoutExtension
import kotlin.io.path.readText
import kotlinx.serialization.json.Json
import net.jqwik.api.Example
import org.hyssoprack.common.TierName
import org.hyssoprack.policy.DefaultPolicyCompiler

class ExperimentFilesTest {
    private val files = Path.of("experiments").listDirectoryEntries("*.json")

    @Example
    fun `the policy of every experiment compiles for every variant`() {
        assertThat(files.size).isGreaterThan(0)
        files.forEach { file ->
            val experiment = read(file)
            experiment.variants.forEach { variant ->
                val compiled = DefaultPolicyCompiler().compile(PolicyText.of(experiment, variant))
                val name = "${file.fileName} ${variant.name}"
                assertThat(compiled.leftOrNull(), name = name).isEqualTo(null)
                val policy = compiled.getOrNull()!!
                experiment.classes.forEach {
                    assertThat(policy.tier(TierName(it.tier)), name = name).isNotNull()
                }
            }
        }
    }

    @Example
    fun `every experiment refers to its own file name, classes and engines`() {
        files.forEach { file ->
            val experiment = read(file)
            assertThat(experiment.name).isEqualTo(file.nameWithoutExtension)
            val classes = experiment.classes.map { it.name }
            experiment.variants.flatMap { it.classes.orEmpty() }.forEach {
                assertThat(it, name = file.toString()).isIn(*classes.toTypedArray())
            }
            val engines = experiment.engines.flatMap { it.settings() }.map { it.id.value }
            experiment.faults.forEach {
                assertThat(it.process, name = file.toString()).isIn(*engines.toTypedArray())
            }
        }
    }

    private fun read(file: Path) = Json.decodeFromString<Experiment>(file.readText())
}
