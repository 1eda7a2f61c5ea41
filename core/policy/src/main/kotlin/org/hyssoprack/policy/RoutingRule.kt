package org.hyssoprack.policy

/** How a pool chooses among its backend servers. All but [COST] are baselines for comparison. */
enum class RoutingRule { COST, ROUND_ROBIN, LEAST_REPORTED_LOAD }
