#pragma once

#include "poplarspool/base/http.h"

#include <map>
#include <string>
#include <string_view>

namespace poplarspool::bench {

/// Samples of the Prometheus text format: value by series name with its labels.
using metric_samples = std::map<std::string, double>;

metric_samples parseMetrics(std::string_view text);

/// @returns Sum over all series whose name, without its labels, ends with the suffix.
double sumBySuffix(const metric_samples &samples, std::string_view suffix);

/// Fetches `/metrics` from an operator address.
result<metric_samples> fetchMetrics(const endpoint &from, const std::string &bearerKey,
                                    http_pool &pool);

} // namespace poplarspool::bench
