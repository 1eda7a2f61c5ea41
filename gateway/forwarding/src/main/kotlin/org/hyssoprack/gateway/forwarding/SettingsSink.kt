package org.hyssoprack.gateway.forwarding

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import org.hyssoprack.common.EventLog
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode
import org.hyssoprack.common.catchAny
import org.hyssoprack.common.eq
import org.hyssoprack.serving.settings.ActiveSettings
import org.hyssoprack.serving.settings.ClockReading
import org.hyssoprack.serving.settings.ServingSettings
import org.hyssoprack.store.FeedRow

/**
 * Puts accepted settings in force as they appear in the store.
 *
 * @param rowKey key of the row that holds the newest settings.
 * @param decode decodes the row's text.
 */
class SettingsSink(
    private val active: ActiveSettings,
    private val rowKey: String,
    private val decode: (String) -> Either<Failure, ServingSettings>,
    private val log: EventLog,
    private val onAccepted: (ServingSettings) -> Unit
) : FeedSink {
    private var activeText: String? = null

    override fun replace(rows: List<FeedRow>): Boolean = change(rows)

    override fun change(rows: List<FeedRow>): Boolean {
        val text = rows.lastOrNull { it.key == rowKey }?.value ?: return true
        if (text == activeText) return true
        return decoded(text).fold(::rejected) { accepted(it, text) }
    }

    override fun confirm(readStarted: ClockReading) {
        active.confirm(readStarted)
    }

    override fun storeRestored() = Unit

    override fun storeRecovered(agoMs: Long) = Unit

    // A row that makes the decoder fail is rejected like any other that cannot be read.
    private fun decoded(text: String): Either<Failure, ServingSettings> = catchAny { decode(text) }
        .getOrElse { Failure(ResultCode.SETTINGS_INVALID, "decoder failed: $it").left() }

    private fun rejected(failure: Failure): Boolean {
        log.event("settings-unreadable", "detail" eq failure.detail)
        return false
    }

    private fun accepted(settings: ServingSettings, text: String): Boolean {
        val previous = active.current?.version
        if (!active.accept(settings)) {
            log.event("settings-older", "version" eq settings.version, "active" eq previous)
            return true
        }
        activeText = text
        log.event(
            "settings-in-force",
            "version" eq settings.version,
            "before" eq previous,
            "routes" eq settings.routeCount,
            "services" eq settings.services.size
        )
        onAccepted(settings)
        return true
    }
}
