#include "cornelrelay/entry/crash_hub.h"

#include <nlohmann/json.hpp>

namespace cornelrelay::entry {

CrashHub::CrashHub(const runtime::ProcessClock&, runtime::ControlPlane&, telemetry::JsonLog& log)
    : m_log(log) {}

bool CrashHub::MayRun(const std::string&) { return true; }
void CrashHub::Started(const std::string&, const core::AttemptId&, const core::UpstreamId&) {}
void CrashHub::Completed(const core::AttemptId&) {}
void CrashHub::Ended(const core::AttemptId&) {}
void CrashHub::Broken(const core::AttemptId& attempt) {
  m_log.Debug("attempt_broken", {{"attempt", attempt}});
}
void CrashHub::Receive(const gossip::CrashRecord&) {}
nlohmann::json CrashHub::Dump() const { return nlohmann::json::object(); }

}  // namespace cornelrelay::entry
