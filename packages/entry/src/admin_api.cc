#include "cornelrelay/entry/admin_api.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "cornelrelay/entry/catalogue_edit.h"
#include "cornelrelay/profile/dump.h"
#include "cornelrelay/profile/invalid_profile_document.h"
#include "cornelrelay/runtime/metrics_server.h"
#include "cornelrelay/telemetry/log_levels.h"
#include "cornelrelay/telemetry/to_json.h"
#include "edit_json.h"

namespace cornelrelay::entry {
namespace {

namespace asio = boost::asio;
using internal::ErrorAnswer;
using internal::JsonAnswer;

constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kExplain = "/explain/";
constexpr std::string_view kConfirmations = "/confirmations?revision=";

nlohmann::json MemberJson(const gossip::MemberState& member) {
  static constexpr const char* kLives[] = {"alive", "suspect", "dead", "left"};
  return {{"life", kLives[static_cast<int>(member.life)]},
          {"role", member.role == gossip::Role::kEntry ? "entry" : "agent"},
          {"data_centre", member.data_centre.value()},
          {"control", core::ToString(member.control)},
          {"revision", member.revision}};
}

nlohmann::json CatalogueJson(const profile::Catalogue& catalogue) {
  nlohmann::json json = profile::ToJson(catalogue);
  json["history"] = nlohmann::json::array();
  for (const auto& change : catalogue.content().history) {
    nlohmann::json entry = profile::ToJson(change);
    entry["lines"] = profile::Describe(change);
    json["history"].push_back(std::move(entry));
  }
  return json;
}

}  // namespace

AdminApi::AdminApi(AdminServices services, settings::CredentialDigest credential,
                   std::uint64_t seed)
    : m_services(std::move(services)), m_credential(credential), m_random(seed) {}

asio::awaitable<void> AdminApi::Serve(net::HttpRequest request, net::ResponseStream& response) {
  net::HttpResponse answer;
  const bool edit = request.method == "POST" && request.target == "/edits";
  if (edit && Authorised(request)) {
    answer = co_await Edit(std::move(request.body));
  } else {
    answer = Answer(request);
  }
  co_await response.SendWhole(std::move(answer));
}

bool AdminApi::Authorised(const net::HttpRequest& request) const {
  const auto header = net::FindHeader(request.headers, "Authorization");
  return header && header->starts_with(kBearer) &&
         m_credential.Matches(header->substr(kBearer.size()));
}

net::HttpResponse AdminApi::Answer(const net::HttpRequest& request) {
  const std::string& target = request.target;
  if (target == "/healthz") return JsonAnswer(200, {{"status", "ok"}});
  if (target == "/metrics") return runtime::MetricsAnswer(m_services.metrics, m_services.clock);
  if (!Authorised(request)) {
    return ErrorAnswer(401, "unauthorised", "the operator's credential is required");
  }
  if (target == "/status") return Status();
  if (target == "/dump") return JsonAnswer(200, m_services.dump());
  if (target.starts_with(kExplain)) return Explain(target.substr(kExplain.size()));
  if (target.starts_with(kConfirmations)) return Confirmations(target);
  if (target == "/log-level" && request.method == "PUT") return SetLogLevel(request.body);
  if (target == "/catalogue") {
    const auto& catalogue = m_services.catalogues.replica().catalogue();
    if (!catalogue) return ErrorAnswer(503, "no_catalogue", "no catalogue is known yet");
    return JsonAnswer(200, CatalogueJson(*catalogue));
  }
  return ErrorAnswer(404, "unknown_path", "there is no such path");
}

net::HttpResponse AdminApi::Status() const {
  nlohmann::json members = nlohmann::json::object();
  for (const auto& [key, stored] : m_services.control.node().table().records()) {
    const auto* member = std::get_if<gossip::MemberState>(&stored.record.payload);
    if (member != nullptr) members[key.subject] = MemberJson(*member);
  }
  const auto revision = m_services.catalogues.replica().revision();
  return JsonAnswer(200, {{"host", m_services.control.node().settings().self.value()},
                          {"revision", revision ? nlohmann::json(*revision) : nlohmann::json()},
                          {"store_outage", m_services.store.client().InOutage()},
                          {"members", members}});
}

net::HttpResponse AdminApi::Explain(const std::string& id) const {
  const auto records = m_services.decisions.Find(core::RequestId(id));
  if (records.empty()) {
    return ErrorAnswer(404, "unknown_request", "this process has no record of the request");
  }
  nlohmann::json list = nlohmann::json::array();
  for (const auto& record : records) list.push_back(telemetry::ToJson(record));
  return JsonAnswer(200, {{"records", list}});
}

net::HttpResponse AdminApi::Confirmations(const std::string& target) const {
  std::uint64_t revision = 0;
  const char* first = target.data() + kConfirmations.size();
  std::from_chars(first, target.data() + target.size(), revision);
  const core::HostId& self = m_services.control.node().settings().self;
  nlohmann::json unconfirmed = nlohmann::json::array();
  nlohmann::json confirmed = nlohmann::json::array();
  nlohmann::json left = nlohmann::json::array();
  for (const auto& [key, stored] : m_services.control.node().table().records()) {
    const auto* member = std::get_if<gossip::MemberState>(&stored.record.payload);
    if (member == nullptr || member->role != gossip::Role::kEntry) continue;
    const bool own = key.subject == self.value();
    const auto applied =
        own ? m_services.catalogues.replica().revision().value_or(0) : member->revision;
    if (applied >= revision) {
      confirmed.push_back(key.subject);
    } else if (member->life == gossip::Life::kLeft) {
      left.push_back(key.subject);
    } else if (member->life != gossip::Life::kDead) {
      unconfirmed.push_back(key.subject);
    }
  }
  return JsonAnswer(200, {{"revision", revision},
                          {"confirmed", confirmed},
                          {"left", left},
                          {"unconfirmed", unconfirmed}});
}

net::HttpResponse AdminApi::SetLogLevel(const std::string& name) {
  const auto level = telemetry::ParseLogLevel(name);
  if (!level) {
    return ErrorAnswer(400, "unknown_level", "levels: trace, debug, info, warning, error");
  }
  m_services.log.SetLevel(*level);
  return JsonAnswer(200, {{"level", name}});
}

profile::ChangeRequest AdminApi::ParseEdit(const std::string& body) {
  const auto json = nlohmann::json::parse(body);
  profile::ChangeRequest request;
  const std::string fresh = std::to_string(m_random()) + std::to_string(m_random());
  request.id = profile::ChangeId(json.value("change_id", fresh));
  request.author = profile::OperatorName(json.value("author", "operator"));
  request.unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                        m_services.clock.Now().time_since_epoch())
                        .count();
  if (json.contains("seen")) request.seen = json.at("seen").get<profile::CatalogueRevision>();
  request.edit = internal::EditFromJson(json.at("edit"));
  return request;
}

asio::awaitable<net::HttpResponse> AdminApi::Edit(std::string body) {
  std::optional<profile::ChangeRequest> request;
  std::optional<net::HttpResponse> refused;
  try {
    request = ParseEdit(body);
  } catch (const profile::InvalidProfileDocument& error) {
    refused = ErrorAnswer(422, error.code(), error.what());
  } catch (const nlohmann::json::exception& error) {
    refused = ErrorAnswer(400, "malformed_edit", error.what());
  }
  if (refused) co_return std::move(*refused);
  profile::EditOutcome outcome = co_await RunEdit(std::move(*request));
  const bool applied = std::holds_alternative<profile::EditApplied>(outcome);
  if (applied) m_services.catalogues.OnEvent(profile::ReplicaTick{});
  co_return internal::OutcomeResponse(outcome);
}

asio::awaitable<profile::EditOutcome> AdminApi::RunEdit(profile::ChangeRequest request) {
  const auto outcome = std::make_shared<std::optional<profile::EditOutcome>>();
  const auto done = std::make_shared<asio::steady_timer>(m_services.context,
                                                         asio::steady_timer::time_point::max());
  CatalogueEdit::Start(m_services.context, m_services.clock, m_services.store, std::move(request),
                       [outcome, done](const profile::EditOutcome& result) {
                         *outcome = result;
                         done->cancel();
                       });
  if (!*outcome) {
    boost::system::error_code ec;
    co_await done->async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
  co_return std::move(**outcome);
}

}  // namespace cornelrelay::entry
