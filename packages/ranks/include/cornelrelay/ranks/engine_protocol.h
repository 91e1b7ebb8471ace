#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cornelrelay/balance/rank_order.h"
#include "cornelrelay/balance/rank_report.h"
#include "cornelrelay/net/http_message.h"

namespace cornelrelay::ranks {

/// \brief Encodes requests to the engines as HTTP and decodes their responses.
class EngineProtocol {
 public:
  virtual ~EngineProtocol() = default;

  virtual net::HttpRequest MakeReportRequest() const = 0;
  /// \brief Decodes a report, without the experts: MakeExpertsRequest() asks for those.
  /// \return none for an engine without a group
  /// \throws core::Error
  virtual std::optional<balance::RankReport> DecodeReport(const std::string& body) const = 0;

  virtual net::HttpRequest MakeExpertsRequest() const = 0;
  /// \brief Decodes the experts of the rank in the map in use, by set of layers.
  /// \throws core::Error
  virtual std::vector<std::vector<std::uint16_t>> DecodeExperts(const std::string& body) const = 0;

  virtual net::HttpRequest MakeExpertCountsRequest() const = 0;
  /// \brief Decodes how often each expert was chosen since the engine's start, set after set.
  /// \throws core::Error
  virtual std::vector<std::uint64_t> DecodeExpertCounts(const std::string& body) const = 0;

  /// \param order any order but ObserveRank, which is not sent to engines
  virtual net::HttpRequest Encode(const balance::RankOrder& order, std::uint64_t epoch,
                                  balance::Fence fence) const = 0;
  virtual balance::OrderResult DecodeOrderStatus(int status) const = 0;
};

}  // namespace cornelrelay::ranks
