#pragma once

#include <nlohmann/json_fwd.hpp>

#include "cornelrelay/net/http_message.h"
#include "cornelrelay/profile/change.h"
#include "cornelrelay/profile/edit_outcome.h"

namespace cornelrelay::entry::internal {

/// \brief Parses the `edit` part of a change request.
/// \throws nlohmann::json::exception, profile::InvalidProfileDocument
profile::Edit EditFromJson(const nlohmann::json& json);

/// \brief 200 with the revision, or a typed error; a conflict carries both changes.
net::HttpResponse OutcomeResponse(const profile::EditOutcome& outcome);

net::HttpResponse JsonAnswer(int status, const nlohmann::json& body);
net::HttpResponse ErrorAnswer(int status, const std::string& type, const std::string& message);

}  // namespace cornelrelay::entry::internal
