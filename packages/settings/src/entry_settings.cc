#include "cornelrelay/settings/entry_settings.h"

#include <set>

#include "common_sections.h"
#include "table_reader.h"

namespace cornelrelay::settings {

namespace {

using internal::Presence;
using internal::TableReader;

constexpr std::int64_t kKiB = 1024;
constexpr std::int64_t kMiB = 1024 * kKiB;

/// \brief Names and keys that must be unique in the file.
struct Seen {
  std::set<core::ClientAccountId> accounts;
  std::set<CredentialDigest> api_keys;
  std::set<core::ServiceId> services;
  std::set<std::string> models;
  std::set<core::UpstreamId> upstreams;
};

SizeLimits ReadLimits(TableReader& table) {
  const auto bytes = [&](std::string_view key, std::int64_t min, std::int64_t max,
                         std::size_t fallback) {
    return static_cast<std::size_t>(
        table.Integer(key, {min, max}, static_cast<std::int64_t>(fallback)));
  };
  const SizeLimits usual;
  SizeLimits limits;
  limits.head = bytes("max_head_bytes", kKiB, kMiB, usual.head);
  limits.body = bytes("max_body_bytes", kKiB, 64 * kMiB, usual.body);
  limits.event = bytes("max_event_bytes", kKiB, kMiB, usual.event);
  return limits;
}

CallerTimeouts ReadTimeouts(TableReader& table) {
  constexpr std::int64_t kLongestMs = 3'600'000;
  const auto time = [&](std::string_view key, core::Duration fallback) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(fallback);
    return table.Milliseconds(key, {1, kLongestMs}, ms.count());
  };
  CallerTimeouts timeouts;
  timeouts.head = time("head_timeout_ms", timeouts.head);
  timeouts.idle = time("idle_timeout_ms", timeouts.idle);
  return timeouts;
}

AccountSettings ReadAccount(TableReader& table, Seen& seen) {
  AccountSettings account;
  account.id = core::ClientAccountId(table.Name("id"));
  account.api_key = internal::ReadCredential(table, "api_key");
  if (!account.id.empty() && !seen.accounts.insert(account.id).second) {
    table.Fault("id", "another client account has this id");
  }
  const bool has_key = account.api_key != CredentialDigest();
  if (has_key && !seen.api_keys.insert(account.api_key).second) {
    table.Fault(table.Has("api_key") ? "api_key" : "api_key_sha256",
                "another client account has this API key");
  }
  return account;
}

UpstreamSettings ReadUpstream(TableReader& table, Seen& seen) {
  UpstreamSettings upstream;
  upstream.id = core::UpstreamId(table.Name("id"));
  upstream.endpoint = table.Endpoint("endpoint");
  upstream.agent = table.FindEndpoint("agent");
  upstream.data_centre = core::DataCentreId(table.Name("data_centre"));
  upstream.honours_fencing = table.Boolean("honours_fencing", false);
  if (!upstream.id.empty() && !seen.upstreams.insert(upstream.id).second) {
    table.Fault("id", "another upstream has this id");
  }
  return upstream;
}

void CheckModel(TableReader& table, const ServiceSettings& service, Seen& seen) {
  if (service.kind == ServiceKind::kPlain) {
    if (table.Has("model")) table.Fault("model", "not allowed for a plain service");
  } else if (service.model.empty()) {
    table.Fault("model", "required for a model service");
  } else if (!seen.models.insert(service.model).second) {
    table.Fault("model", "another service has this model name");
  }
}

ServiceSettings ReadService(TableReader& table, Seen& seen) {
  ServiceSettings service;
  service.id = core::ServiceId(table.Name("id"));
  service.kind = internal::ReadServiceKind(table);
  service.model = table.FindString("model").value_or("");
  service.profile = core::ProfileName(table.Name("profile"));
  if (!service.id.empty() && !seen.services.insert(service.id).second) {
    table.Fault("id", "another service has this id");
  }
  CheckModel(table, service, seen);
  table.Sections("upstreams", Presence::kRequired, [&](TableReader& upstream) {
    service.upstreams.push_back(ReadUpstream(upstream, seen));
  });
  return service;
}

void ReadListen(TableReader& table, EntrySettings& settings) {
  settings.callers = table.Endpoint("callers");
  settings.admin = table.Endpoint("admin");
  settings.common.control = table.Endpoint("control");
  std::set<core::Endpoint> used;
  const std::pair<std::string_view, core::Endpoint> endpoints[] = {
      {"callers", settings.callers},
      {"admin", settings.admin},
      {"control", settings.common.control}};
  for (const auto& [key, endpoint] : endpoints) {
    if (endpoint.port != 0 && !used.insert(endpoint).second) {
      table.Fault(key, "another listener uses this endpoint");
    }
  }
}

}  // namespace

EntrySettings ParseEntrySettings(std::string_view text, const std::string& file) {
  EntrySettings settings;
  Seen seen;
  internal::ReadDocument(text, file, [&](TableReader& root) {
    settings.common = internal::ReadCommon(root);
    root.Section("listen", Presence::kRequired,
                 [&](TableReader& table) { ReadListen(table, settings); });
    root.Section("operator", Presence::kRequired, [&](TableReader& table) {
      settings.operator_credential = internal::ReadCredential(table, "credential");
    });
    root.Section("limits", Presence::kOptional, [&](TableReader& table) {
      settings.limits = ReadLimits(table);
      settings.timeouts = ReadTimeouts(table);
    });
    root.Section("tls", Presence::kOptional, [&](TableReader& table) {
      settings.tls = TlsFiles{internal::ReadFilePath(table, "cert_file"),
                              internal::ReadFilePath(table, "key_file")};
    });
    root.Sections("accounts", Presence::kOptional, [&](TableReader& table) {
      settings.accounts.push_back(ReadAccount(table, seen));
    });
    root.Sections("services", Presence::kOptional, [&](TableReader& table) {
      settings.services.push_back(ReadService(table, seen));
    });
    internal::RemoveOwnPeer(settings.common);
  });
  return settings;
}

EntrySettings LoadEntrySettings(const std::string& file) {
  return ParseEntrySettings(internal::ReadSettingsFile(file), file);
}

}  // namespace cornelrelay::settings
