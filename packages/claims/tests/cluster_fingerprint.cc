#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

#include "cluster.h"
#include "cornelrelay/claims/state_dump.h"
#include "cornelrelay/core/overloaded.h"

namespace cornelrelay::claims::testing {
namespace {

void Write(std::ostream& out, const OwnerEvent& event) {
  std::visit(
      core::Overloaded{
          [&](const StoreReadDone& e) { out << "R" << e.call << '@' << e.revision << e.value; },
          [&](const StoreSwapDone& e) { out << "S" << e.call << '@' << e.revision << e.swapped; },
          [&](const StoreAnswerLost& e) { out << "L" << e.call; },
          [&](const StoreUnavailable& e) { out << "U" << e.call; }, [](const auto&) {}},
      event);
}

void Write(std::ostream& out, const Payload& payload) {
  std::visit(
      core::Overloaded{
          [&](const ClaimCall& m) { out << "c" << m.call << m.key << m.body; },
          [&](const ClaimReply& m) { out << "r" << m.call << ToString(m.answer) << m.recorded; },
          [&](const ClaimFinish& m) { out << "f" << m.call << ToString(m.outcome); },
          [&](const ClaimFinishAck& m) { out << "a" << m.call; },
          [&](const StoreRequest& m) {
            std::visit(core::Overloaded{[&](const StoreRead& c) { out << "g" << c.call << c.key; },
                                        [&](const StoreSwap& c) {
                                          out << "w" << c.call << c.key << c.expected << c.value;
                                        }},
                       m.call);
          },
          [&](const StoreAnswer& m) { Write(out, m.result); }},
      payload);
}

}  // namespace

std::string Cluster::Fingerprint() const {
  std::ostringstream out;
  out << m_now.time_since_epoch().count() << m_revision << m_store_down << m_violations.size();
  for (const auto& [key, stored] : m_store) out << key << stored.revision << stored.value << ';';
  for (const Process& p : m_processes) {
    // Building the dumps dominates a search, so they are kept until the process steps again.
    if (p.digest.empty()) {
      std::string text = ToJson(*p.client).dump();
      for (const auto& [partition, owner] : p.owners) text += ToJson(owner).dump();
      p.digest = ToString(KeyDigest::Of({text}));
    }
    out << p.incarnation << p.paused << p.digest;
    for (const auto& request : p.granted) out << request << ',';
  }
  for (const auto& [request, call] : m_calls) {
    out << request << call.granted << call.ran
        << (call.denial ? ToString(call.denial->reason) : "-");
  }
  for (const auto& [key, runs] : m_runs) out << key << runs;
  // The order of messages in flight has no meaning.
  std::vector<std::string> texts;
  for (const Message& m : m_messages) {
    if (m.digest.empty()) {
      std::ostringstream text;
      text << m.from << '>' << m.to << m.incarnation << m.answered;
      Write(text, m.payload);
      m.digest = ToString(KeyDigest::Of({text.str()}));
    }
    texts.push_back(m.digest);
  }
  std::sort(texts.begin(), texts.end());
  for (const auto& text : texts) out << '|' << text;
  return out.str();
}

}  // namespace cornelrelay::claims::testing
