#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "capacity/table.h"

namespace cornelrelay::bench {

/// \brief Store calls, bytes and CPU of claims at rising rates, on 350 processes.
Table MeasureClaimRates(std::uint64_t seed);
/// \brief Memory of held claims, and the reads and time of a take-over.
/// \param places segment places of one claim: 1 when its outcome comes before the segment is
/// sealed, else 2
Table MeasureHeldClaims(std::uint64_t seed, std::size_t places);
/// \brief Store calls and delays of the catalogue's distribution, at rising numbers of processes.
/// \param confirmations whether the others hear which revision a watcher has found in the store
Table MeasureDistribution(std::uint64_t seed, bool confirmations);
/// \brief Size and cost of one catalogue, at rising numbers of profiles.
Table MeasureCatalogueSize();
/// \brief Admission at rising numbers of accounts, and at rising numbers of members.
std::vector<Table> MeasureLimits(std::uint64_t seed);
/// \brief Routing at rising numbers of replicas.
Table MeasureRouting(std::uint64_t seed);
/// \brief Requests in progress and the decision log, at rising numbers of each.
std::vector<Table> MeasureRequests();

}  // namespace cornelrelay::bench
