#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cornelrelay/balance/rank_order.h"
#include "cornelrelay/balance/rank_report.h"
#include "cornelrelay/net/http_message.h"

namespace cornelrelay::ranks {

/// \brief Translates between HTTP as the engines speak it and the product's types.
class EngineProtocol {
 public:
  virtual ~EngineProtocol() = default;

  virtual net::HttpRequest MakeReportRequest() const = 0;
  /// \brief Without the experts, which MakeExpertsRequest() tells. None for an engine without a
  /// group. \throws core::Error
  virtual std::optional<balance::RankReport> DecodeReport(const std::string& body) const = 0;

  virtual net::HttpRequest MakeExpertsRequest() const = 0;
  /// \brief Experts of the rank in the map in use, by set of layers. \throws core::Error
  virtual std::vector<std::vector<std::uint16_t>> DecodeExperts(const std::string& body) const = 0;

  virtual net::HttpRequest MakeExpertCountsRequest() const = 0;
  /// \brief How often each expert was chosen since the engine's start, set after set.
  /// \throws core::Error
  virtual std::vector<std::uint64_t> DecodeExpertCounts(const std::string& body) const = 0;

  /// \param order not ObserveRank
  virtual net::HttpRequest Encode(const balance::RankOrder& order, std::uint64_t epoch,
                                  balance::Fence fence) const = 0;
  virtual balance::OrderResult DecodeOrderStatus(int status) const = 0;
};

}  // namespace cornelrelay::ranks
