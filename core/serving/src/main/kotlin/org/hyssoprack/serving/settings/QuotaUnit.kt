package org.hyssoprack.serving.settings

/** What an account's quota counts. */
enum class QuotaUnit { REQUESTS, TOKENS }
