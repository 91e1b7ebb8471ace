#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/core/toml.h"
#include "fault_list.h"

namespace cornelrelay::settings::internal {

struct IntegerRange {
  std::int64_t min = std::numeric_limits<std::int64_t>::min();
  std::int64_t max = std::numeric_limits<std::int64_t>::max();
};

struct NumberRange {
  double min = 0;
  double max = 0;
};

enum class Presence { kRequired, kOptional };

/// \brief Reads one TOML table with checks. Each faulty value adds a fault and gives a harmless
/// value, so that reading goes on to the next fault.
///
/// \code
/// root.Section("listen", Presence::kRequired,
///              [&](TableReader& listen) { settings.callers = listen.Endpoint("callers"); });
/// \endcode
class TableReader {
 public:
  using Body = std::function<void(TableReader&)>;

  /// \param path dotted name of the table in messages, empty for the root
  TableReader(const toml::table& table, std::string path, FaultList& faults)
      : m_table(table), m_path(std::move(path)), m_faults(faults) {}

  std::optional<std::string> FindString(std::string_view key);
  std::string String(std::string_view key);

  /// \brief Required name of at most 64 characters from `A-Z a-z 0-9 . _ -`.
  std::string Name(std::string_view key);

  bool Boolean(std::string_view key, bool fallback);
  std::optional<std::int64_t> FindInteger(std::string_view key, IntegerRange range);
  std::int64_t Integer(std::string_view key, IntegerRange range, std::int64_t fallback);

  /// \brief A number with or without a fraction.
  double Number(std::string_view key, NumberRange range, double fallback);
  /// \brief A time in seconds, with or without a fraction.
  core::Duration Seconds(std::string_view key, NumberRange range, core::Duration fallback);
  core::Duration Milliseconds(std::string_view key, IntegerRange range, std::int64_t fallback);

  std::optional<core::Endpoint> FindEndpoint(std::string_view key);
  core::Endpoint Endpoint(std::string_view key);
  std::vector<core::Endpoint> Endpoints(std::string_view key);

  /// \brief One of the named values; `fallback` empty makes the key required.
  template <class T>
  T Choice(std::string_view key, std::initializer_list<std::pair<std::string_view, T>> choices,
           std::optional<T> fallback = std::nullopt) {
    const auto text = fallback ? FindString(key) : FindRequiredString(key);
    if (!text) return fallback.value_or(choices.begin()->second);
    std::string names;
    for (const auto& [name, value] : choices) {
      if (name == *text) return value;
      names += (names.empty() ? "" : ", ") + std::string(name);
    }
    Fault(key, "expected one of " + names);
    return choices.begin()->second;
  }

  /// \brief Reads a sub-table and then reports its unknown keys.
  void Section(std::string_view key, Presence presence, const Body& body);

  /// \brief Reads each table of an array of tables; kRequired demands at least one.
  void Sections(std::string_view key, Presence presence, const Body& body);

  /// \brief Adds a fault at the value of `key`, or at the table if the key is absent.
  void Fault(std::string_view key, const std::string& message);

  bool Has(std::string_view key) const { return m_table.contains(key); }
  const std::string& file() const { return m_faults.file(); }

  /// \brief Reports the keys that no call has asked for.
  void ReportUnknownKeys();

 private:
  const toml::node* Find(std::string_view key);
  std::optional<std::string> FindRequiredString(std::string_view key);
  std::string PathOf(std::string_view key) const;
  std::optional<core::Endpoint> ToEndpoint(const toml::node& node, const std::string& path);

  const toml::table& m_table;
  std::string m_path;
  FaultList& m_faults;
  std::set<std::string, std::less<>> m_known;
};

/// \brief Parses a document, reads it with `body` and throws InvalidSettings if it has faults.
void ReadDocument(std::string_view text, const std::string& file, const TableReader::Body& body);

/// \brief The text of a file, or throws InvalidSettings.
std::string ReadSettingsFile(const std::string& file);

}  // namespace cornelrelay::settings::internal
