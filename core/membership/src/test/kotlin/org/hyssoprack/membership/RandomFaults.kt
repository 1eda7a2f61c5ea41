package org.hyssoprack.membership

import kotlin.random.Random

/** Injects random faults into a [SimulatedNetwork] of seven hosts, and clears them. */
internal class RandomFaults(private val network: SimulatedNetwork, private val random: Random) {
    private val hosts = 0 until HOSTS
    private val paused = mutableSetOf<Int>()
    private val killed = mutableSetOf<Int>()

    fun inject() {
        when (random.nextInt(KINDS)) {
            0 -> kill()
            1 -> restart()
            2 -> pause()
            3 -> resume()
            4 -> network.cut(randomHosts(), randomHosts())
            5 -> network.cut(randomHosts(), randomHosts(), oneWay = true)
            6 -> network.heal()
            else -> network.lossPercent = random.nextInt(MAX_LOSS_PERCENT)
        }
    }

    /** Heals the network, and resumes or restarts all hosts. */
    fun end() {
        network.heal()
        network.lossPercent = 0
        paused.forEach { network.resume(it) }
        killed.forEach { network.start(it) }
    }

    private fun kill() {
        val host = hosts.filter { it != 0 && it !in killed }.randomOrNull(random) ?: return
        network.kill(host)
        killed += host
    }

    private fun restart() {
        val host = killed.randomOrNull(random) ?: return
        network.start(host)
        killed -= host
    }

    private fun pause() {
        val host = hosts.random(random)
        network.pause(host)
        paused += host
    }

    private fun resume() {
        val host = paused.randomOrNull(random) ?: return
        network.resume(host)
        paused -= host
    }

    private fun randomHosts(): List<Int> = hosts.shuffled(random).take(random.nextInt(1, HOSTS))

    private companion object {
        const val HOSTS = 7
        const val KINDS = 8
        const val MAX_LOSS_PERCENT = 60
    }
}
