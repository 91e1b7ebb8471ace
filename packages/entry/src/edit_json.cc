#include "edit_json.h"

#include <nlohmann/json.hpp>
#include <string>
#include <variant>

#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/profile/dump.h"
#include "cornelrelay/profile/profile_document.h"

namespace cornelrelay::entry::internal {
namespace {

profile::Profile ProfileOf(const nlohmann::json& json) {
  return profile::ProfileDocument(json.at("document").get<std::string>(),
                                  json.value("source", "document"))
      .profile();
}

nlohmann::json ErrorBody(const std::string& type, const std::string& message) {
  return {{"error", {{"type", type}, {"message", message}}}};
}

nlohmann::json ConflictBody(const profile::CatalogueConflict& conflict) {
  nlohmann::json winners = nlohmann::json::array();
  for (const auto& winner : conflict.winners()) {
    winners.push_back({{"change", profile::ToJson(winner)}, {"lines", profile::Describe(winner)}});
  }
  nlohmann::json body = ErrorBody(conflict.code(), conflict.what());
  body["error"]["current_revision"] = conflict.current();
  body["error"]["mine"] = {{"id", conflict.mine().id.value()},
                           {"kind", profile::KindName(conflict.mine().edit)}};
  body["error"]["theirs"] = winners;
  return body;
}

}  // namespace

profile::Edit EditFromJson(const nlohmann::json& json) {
  const std::string kind = json.at("kind").get<std::string>();
  if (kind == "create") return profile::CreateProfile{ProfileOf(json)};
  if (kind == "change") return profile::ChangeProfile{ProfileOf(json)};
  if (kind == "retire") {
    return profile::RetireProfile{core::ProfileName(json.at("name").get<std::string>()),
                                  json.value("force", false)};
  }
  if (kind == "assign") {
    profile::AssignService assign;
    assign.service = core::ServiceId(json.at("service").get<std::string>());
    if (json.contains("profile")) {
      assign.profile = core::ProfileName(json.at("profile").get<std::string>());
    }
    return assign;
  }
  return profile::SetDefaultProfile{core::ProfileName(json.at("name").get<std::string>())};
}

net::HttpResponse JsonAnswer(int status, const nlohmann::json& body) {
  net::HttpResponse response;
  response.status = status;
  response.headers["Content-Type"] = "application/json";
  response.body = body.dump();
  return response;
}

net::HttpResponse ErrorAnswer(int status, const std::string& type, const std::string& message) {
  return JsonAnswer(status, ErrorBody(type, message));
}

net::HttpResponse OutcomeResponse(const profile::EditOutcome& outcome) {
  return std::visit(core::Overloaded{[](const profile::EditApplied& applied) {
                                       return JsonAnswer(200, {{"revision", applied.revision}});
                                     },
                                     [](const profile::CatalogueConflict& conflict) {
                                       return JsonAnswer(409, ConflictBody(conflict));
                                     },
                                     [](const profile::StoreUnavailable& error) {
                                       return ErrorAnswer(503, error.code(), error.what());
                                     },
                                     [](const profile::OutcomeUnknown& error) {
                                       nlohmann::json body = ErrorBody(error.code(), error.what());
                                       body["error"]["change_id"] = error.id().value();
                                       return JsonAnswer(504, body);
                                     },
                                     [](const auto& error) {
                                       return ErrorAnswer(422, error.code(), error.what());
                                     }},
                    outcome);
}

}  // namespace cornelrelay::entry::internal
