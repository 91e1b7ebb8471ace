#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "cornelrelay/core/time.h"
#include "cornelrelay/policybench/job.h"
#include "cornelrelay/routing/replica_status.h"
#include "cornelrelay/routing/router_config.h"

namespace cornelrelay::policybench {

/// \brief Routing policy of one simulated entry process.
class Policy {
 public:
  Policy() = default;
  Policy(const Policy&) = delete;
  Policy& operator=(const Policy&) = delete;
  virtual ~Policy() = default;

  virtual std::size_t Choose(core::Instant now, const Job& job) = 0;
  virtual void OnFirstToken(core::Instant, const Job&, std::size_t) {}
  virtual void OnProgress(core::Instant, const Job&, std::size_t, double) {}
  virtual void OnFinished(core::Instant, const Job&, std::size_t) {}
  virtual void OnReport(core::Instant, std::size_t, const routing::ReportedLoad&) {}
};

struct PolicyContext {
  std::uint64_t seed = 0;
  std::vector<routing::ReplicaStatus> replicas{};
  routing::RouterConfig router{};  ///< for the policy `ours`
};

/// \brief Changes one setting by name; returns whether the name is known.
bool SetRouterOption(routing::RouterConfig& config, const std::string& name, double value);

/// \brief Names accepted by MakePolicy; `ours` first.
std::vector<std::string> PolicyNames();

std::unique_ptr<Policy> MakePolicy(const std::string& name, const PolicyContext& context);

}  // namespace cornelrelay::policybench
