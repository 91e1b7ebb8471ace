#include <algorithm>
#include <cassert>
#include <string>
#include <tuple>

#include "cornelrelay/core/hash.h"
#include "cornelrelay/quarantine/crash_record.h"
#include "cornelrelay/quarantine/ledger_events.h"
#include "cornelrelay/quarantine/probe_record.h"
#include "cornelrelay/quarantine/request_quarantined.h"

namespace cornelrelay::quarantine {

Fingerprint Fingerprint::Of(const core::ClientAccountId& account, const core::ServiceId& service,
                            std::string_view body) {
  // Each part is the seed of the next, so that parts cannot be shifted into each other.
  return Fingerprint(
      core::Hash64(body, core::Hash64(service.value(), core::Hash64(account.value()))));
}

Fingerprint Fingerprint::OfRequest(const core::ServiceId& service,
                                   const core::ClientAccountId& account, std::string_view method,
                                   std::string_view target, std::string_view body) {
  std::uint64_t hash = 0;
  for (const std::string_view part : {std::string_view(service.value()),
                                      std::string_view(account.value()), method, target, body}) {
    hash = core::Hash64(part, hash);
  }
  return Fingerprint(hash | kRequestBit);
}

Fingerprint Fingerprint::OfSegment(const core::ServiceId& service, std::string_view id) {
  return Fingerprint(core::Hash64(id, core::Hash64(service.value())) & ~kRequestBit);
}

CrashRecord Merge(const CrashRecord& a, const CrashRecord& b) {
  assert(a.id == b.id);
  CrashRecord merged = a;
  merged.time = std::min(a.time, b.time);
  merged.suspects.insert(b.suspects.begin(), b.suspects.end());
  merged.cleared.insert(b.cleared.begin(), b.cleared.end());
  return merged;
}

ProbeRecord Merge(const ProbeRecord& a, const ProbeRecord& b) {
  assert(a.entry == b.entry && a.fingerprint == b.fingerprint);
  const auto version = [](const ProbeRecord& r) { return std::tie(r.incarnation, r.sequence); };
  return version(a) < version(b) ? b : a;
}

std::string_view ToString(RefuseReason reason) {
  return reason == RefuseReason::kQuarantined ? "request_quarantined" : "request_probed_elsewhere";
}

RequestQuarantined::RequestQuarantined()
    : Error("request_quarantined", "the request crashed two upstreams within the last hour") {}

}  // namespace cornelrelay::quarantine
