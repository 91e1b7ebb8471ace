#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "cornelrelay/entry/crash_port.h"
#include "cornelrelay/gossip/crash_record.h"
#include "cornelrelay/runtime/control_plane.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/telemetry/json_log.h"

namespace cornelrelay::entry {

/// \brief Reports broken attempts; requests are not quarantined yet.
class CrashHub : public CrashPort {
 public:
  CrashHub(const runtime::ProcessClock& clock, runtime::ControlPlane& control,
           telemetry::JsonLog& log);

  bool MayRun(const std::string& fingerprint) override;
  void Started(const std::string& fingerprint, const core::AttemptId& attempt,
               const core::UpstreamId& upstream) override;
  void Completed(const core::AttemptId& attempt) override;
  void Ended(const core::AttemptId& attempt) override;
  void Broken(const core::AttemptId& attempt) override;

  void Receive(const gossip::CrashRecord& record);
  nlohmann::json Dump() const;

 private:
  telemetry::JsonLog& m_log;
};

}  // namespace cornelrelay::entry
