#pragma once

#include "fescueledge/resources.h"

namespace fescueledge::account {

/// The weighted dominant share of an account that uses @p used of @p total: its largest share of any resource, divided
/// by its weight. Work of the account with the smallest one goes first (weighted dominant resource fairness).
double weightedShare(const Resources &used, const Resources &total, double weight);

/// Whether @p used plus @p need stays within @p limit, where 0 in a dimension means no limit there. A dimension of
/// which nothing is needed does not count.
bool isWithinLimit(const Resources &used, const Resources &need, const Resources &limit);

/// Whether @p limit limits anything.
bool isLimited(const Resources &limit);

} // namespace fescueledge::account
