#include "table_reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <chrono>
#include <sstream>

#include "cornelrelay/core/invalid_endpoint.h"

namespace cornelrelay::settings::internal {

namespace {

constexpr std::size_t kMaxNameLength = 64;  // names travel in datagrams of 1,200 bytes
constexpr std::string_view kNameCharacters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-";

bool IsIpNumber(const std::string& address) {
  in_addr parsed{};
  return inet_pton(AF_INET, address.c_str(), &parsed) == 1;
}

}  // namespace

const toml::node* TableReader::Find(std::string_view key) {
  m_known.emplace(key);
  return m_table.get(key);
}

std::string TableReader::PathOf(std::string_view key) const {
  return m_path.empty() ? std::string(key) : m_path + '.' + std::string(key);
}

void TableReader::Fault(std::string_view key, const std::string& message) {
  const toml::node* node = Find(key);
  m_faults.Add(node ? node->source() : m_table.source(), PathOf(key) + ": " + message);
}

std::optional<std::string> TableReader::FindString(std::string_view key) {
  const toml::node* node = Find(key);
  if (!node) return std::nullopt;
  if (auto text = node->value_exact<std::string>()) return text;
  Fault(key, "expected a string");
  return std::nullopt;
}

std::optional<std::string> TableReader::FindRequiredString(std::string_view key) {
  if (!Has(key)) Fault(key, "missing");
  return FindString(key);
}

std::string TableReader::String(std::string_view key) {
  const auto text = FindRequiredString(key);
  if (text && text->empty()) Fault(key, "must not be empty");
  return text.value_or("");
}

std::string TableReader::Name(std::string_view key) {
  const auto name = FindRequiredString(key);
  if (!name) return "";
  if (name->empty() || name->size() > kMaxNameLength ||
      name->find_first_not_of(kNameCharacters) != std::string::npos) {
    Fault(key, "expected 1 to 64 characters from A-Z a-z 0-9 . _ -");
  }
  return *name;
}

bool TableReader::Boolean(std::string_view key, bool fallback) {
  const toml::node* node = Find(key);
  if (!node) return fallback;
  if (const auto value = node->value_exact<bool>()) return *value;
  Fault(key, "expected true or false");
  return fallback;
}

std::optional<std::int64_t> TableReader::FindInteger(std::string_view key, IntegerRange range) {
  const toml::node* node = Find(key);
  if (!node) return std::nullopt;
  const auto value = node->value_exact<std::int64_t>();
  if (!value) {
    Fault(key, "expected an integer");
    return std::nullopt;
  }
  if (*value < range.min || *value > range.max) {
    Fault(key, "must be from " + std::to_string(range.min) + " to " + std::to_string(range.max));
    return std::nullopt;
  }
  return value;
}

std::int64_t TableReader::Integer(std::string_view key, IntegerRange range, std::int64_t fallback) {
  return FindInteger(key, range).value_or(fallback);
}

core::Duration TableReader::Milliseconds(std::string_view key, IntegerRange range,
                                         std::int64_t fallback) {
  return std::chrono::milliseconds(Integer(key, range, fallback));
}

double TableReader::Number(std::string_view key, NumberRange range, double fallback) {
  const toml::node* node = Find(key);
  if (!node) return fallback;
  const auto value = node->value<double>();
  if (!value || !node->is_number()) {
    Fault(key, "expected a number");
    return fallback;
  }
  if (!(*value >= range.min && *value <= range.max)) {
    std::ostringstream message;
    message << "must be from " << range.min << " to " << range.max;
    Fault(key, message.str());
    return fallback;
  }
  return *value;
}

core::Duration TableReader::Seconds(std::string_view key, NumberRange range,
                                    core::Duration fallback) {
  using Seconds = std::chrono::duration<double>;
  const double seconds = Number(key, range, std::chrono::duration_cast<Seconds>(fallback).count());
  return std::chrono::duration_cast<core::Duration>(Seconds(seconds));
}

std::optional<core::Endpoint> TableReader::ToEndpoint(const toml::node& node,
                                                      const std::string& path) {
  const auto fault = [&](const std::string& message) {
    m_faults.Add(node.source(), path + ": " + message);
    return std::nullopt;
  };
  const auto text = node.value_exact<std::string>();
  if (!text) return fault("expected a string of the form address:port");
  try {
    core::Endpoint endpoint = core::ParseEndpoint(*text);
    if (!IsIpNumber(endpoint.address)) return fault("the address must be an IPv4 number");
    return endpoint;
  } catch (const core::InvalidEndpoint& e) {
    return fault(e.what());
  }
}

std::optional<core::Endpoint> TableReader::FindEndpoint(std::string_view key) {
  const toml::node* node = Find(key);
  if (!node) return std::nullopt;
  return ToEndpoint(*node, PathOf(key));
}

core::Endpoint TableReader::Endpoint(std::string_view key) {
  if (!Has(key)) Fault(key, "missing");
  return FindEndpoint(key).value_or(core::Endpoint{});
}

std::vector<core::Endpoint> TableReader::Endpoints(std::string_view key) {
  const toml::node* node = Find(key);
  std::vector<core::Endpoint> endpoints;
  if (!node) return endpoints;
  const toml::array* list = node->as_array();
  if (!list) {
    Fault(key, "expected a list of address:port");
    return endpoints;
  }
  for (std::size_t i = 0; i < list->size(); ++i) {
    const auto endpoint = ToEndpoint((*list)[i], PathOf(key) + '[' + std::to_string(i) + ']');
    if (endpoint) endpoints.push_back(*endpoint);
  }
  return endpoints;
}

void TableReader::Section(std::string_view key, Presence presence, const Body& body) {
  const toml::node* node = Find(key);
  if (!node) {
    if (presence == Presence::kRequired) Fault(key, "missing section");
    return;
  }
  if (!node->is_table()) return Fault(key, "expected a section");
  TableReader reader(*node->as_table(), PathOf(key), m_faults);
  body(reader);
  reader.ReportUnknownKeys();
}

void TableReader::Sections(std::string_view key, Presence presence, const Body& body) {
  const toml::node* node = Find(key);
  const bool empty = !node || (node->is_array() && node->as_array()->empty());
  if (empty && presence == Presence::kRequired) Fault(key, "missing");
  if (empty) return;
  const toml::array* list = node->as_array();
  if (!list ||
      !std::all_of(list->begin(), list->end(), [](const auto& n) { return n.is_table(); })) {
    return Fault(key, "expected sections of the form [[" + PathOf(key) + "]]");
  }
  for (std::size_t i = 0; i < list->size(); ++i) {
    TableReader reader(*(*list)[i].as_table(), PathOf(key) + '[' + std::to_string(i) + ']',
                       m_faults);
    body(reader);
    reader.ReportUnknownKeys();
  }
}

void TableReader::ReportUnknownKeys() {
  for (const auto& [key, node] : m_table) {
    if (!m_known.contains(key.str())) {
      m_faults.Add(key.source(), PathOf(key.str()) + ": unknown key");
    }
  }
}

}  // namespace cornelrelay::settings::internal
