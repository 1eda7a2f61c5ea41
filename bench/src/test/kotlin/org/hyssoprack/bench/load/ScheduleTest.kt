package org.hyssoprack.bench.load

import assertk.assertThat
import assertk.assertions.isBetween
import assertk.assertions.isEqualTo
import assertk.assertions.isNotEqualTo
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.hyssoprack.bench.experiment.Burst
import org.hyssoprack.bench.experiment.EngineGroup
import org.hyssoprack.bench.experiment.Experiment
import org.hyssoprack.bench.experiment.FleetCapacity
import org.hyssoprack.bench.experiment.LengthDistribution
import org.hyssoprack.bench.experiment.TrafficClass

class ScheduleTest {
    @Property(tries = 20)
    fun `the same seed gives the same requests and another seed different ones`(
        @ForAll seed: Short
    ) {
        val first = draw(experiment(seed.toLong()))
        assertThat(draw(experiment(seed.toLong()))).isEqualTo(first)
        assertThat(draw(experiment(seed.toLong() + 1))).isNotEqualTo(first)
    }

    @Example
    fun `a class sent alone keeps its send times from the full mix`() {
        val experiment = experiment(seed = 3)
        val fullMix = draw(experiment).filter { it.traffic.name == "a" }
        assertThat(draw(experiment, only = listOf("a"))).isEqualTo(fullMix)
    }

    @Example
    fun `the offered rate follows load, weights and bursts`() {
        val experiment = experiment(seed = 5)
        val requests = draw(experiment)
        val perS = FleetCapacity(experiment).requestsPerS * experiment.load
        val burst = requests.filter { it.traffic.name == "b" && it.atMs in 20_000.0..30_000.0 }
        val before = requests.filter { it.traffic.name == "b" && it.atMs < 20_000.0 }
        val steady = requests.filter { it.traffic.name == "a" }
        assertWithin(steady.size, expected = perS / 4 * 60)
        assertWithin(before.size, expected = perS * 3 / 4 * 20)
        assertWithin(burst.size, expected = perS * 3 / 4 * 10 * 5)
    }

    // Six standard deviations of a Poisson count.
    private fun assertWithin(count: Int, expected: Double) {
        val margin = 6 * kotlin.math.sqrt(expected)
        assertThat(count.toDouble()).isBetween(expected - margin, expected + margin)
    }

    private fun draw(experiment: Experiment, only: List<String>? = null) =
        Schedule(experiment, FleetCapacity(experiment)).draw(only)

    private fun experiment(seed: Long) = Experiment(
        name = "test",
        description = "",
        seed = seed,
        load = 0.5,
        warmUpS = 0,
        durationS = 60,
        topTier = "t",
        policy = emptyList(),
        engines = listOf(EngineGroup(count = 2, generation = "g")),
        classes = listOf(
            traffic("a", weight = 1.0),
            traffic("b", weight = 3.0)
                .copy(bursts = listOf(Burst(fromS = 20.0, toS = 30.0, factor = 5.0)))
        ),
        variants = emptyList()
    )

    private fun traffic(name: String, weight: Double) = TrafficClass(
        name = name,
        tier = "t",
        account = "x",
        weight = weight,
        prompt = LengthDistribution(median = 200, sigma = 0.3, max = 500),
        answer = LengthDistribution(median = 30, sigma = 0.3, max = 90),
        deadlineMs = 1_000
    )
}
