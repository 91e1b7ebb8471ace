#include "cornelrelay/profile/profile_document.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <map>
#include <sstream>
#include <utility>

#include "cornelrelay/core/toml.h"
#include "cornelrelay/profile/invalid_profile_document.h"
#include "cornelrelay/profile/profile_check.h"
#include "cornelrelay/profile/profile_fields.h"
#include "field_text.h"

namespace cornelrelay::profile {
namespace {

constexpr std::size_t kMaxDocumentBytes = 65'536;

std::string TypeName(const toml::node& node) {
  std::ostringstream out;
  out << node.type();
  return out.str();
}

class Reader {
 public:
  explicit Reader(const toml::table& table) : m_table(table) {}

  Profile Read() {
    Profile profile;
    if (const toml::node* name = m_table.get("name")) {
      Know("name", *name);
      if (const auto text = name->value_exact<std::string>()) {
        profile.name = core::ProfileName(*text);
      } else {
        WrongType("name", *name, "a string");
      }
    } else {
      m_faults.push_back({1, 1, "name: is missing"});
      m_faulty["name"] = true;
    }
    VisitFields(profile, [this](const Field& field, auto& value) {
      m_sections[field.section][field.key] = true;
      if (const toml::node* node = Find(field)) ReadValue(internal::NameOf(field), *node, value);
    });
    ReportUnknownKeys();
    for (const FieldFault& fault : CheckProfile(profile)) ReportFieldFault(fault);
    return profile;
  }

  std::vector<DocumentFault> TakeFaults() { return std::move(m_faults); }

 private:
  const toml::node* Find(const Field& field) {
    const toml::node* section = m_table.get(field.section);
    if (section == nullptr || !section->is_table()) return nullptr;
    const toml::node* node = section->as_table()->get(field.key);
    if (node != nullptr) Know(internal::NameOf(field), *node);
    return node;
  }

  void Know(const std::string& name, const toml::node& node) {
    m_positions[name] = node.source().begin;
  }

  void Add(toml::source_position at, const std::string& message) {
    m_faults.push_back({std::max(1U, static_cast<std::uint32_t>(at.line)),
                        std::max(1U, static_cast<std::uint32_t>(at.column)), message});
  }

  void WrongType(const std::string& name, const toml::node& node, const std::string& expected) {
    m_faulty[name] = true;
    Add(node.source().begin, name + ": expected " + expected + ", found " + TypeName(node));
  }

  void ReadValue(const std::string& name, const toml::node& node, core::Duration& value) {
    const auto number = node.value_exact<std::int64_t>();
    if (!number) return WrongType(name, node, "an integer");
    // Bounded so that the conversion to microseconds cannot overflow; the range check follows.
    value = std::chrono::milliseconds(std::clamp<std::int64_t>(*number, -1, 1LL << 40));
  }
  void ReadValue(const std::string& name, const toml::node& node, std::uint32_t& value) {
    const auto number = node.value_exact<std::int64_t>();
    if (!number) return WrongType(name, node, "an integer");
    if (*number < 0) {
      m_faulty[name] = true;
      return Add(node.source().begin, name + ": must not be negative");
    }
    value = static_cast<std::uint32_t>(
        std::min<std::int64_t>(*number, std::numeric_limits<std::uint32_t>::max()));
  }
  void ReadValue(const std::string& name, const toml::node& node, double& value) {
    if (!node.is_number()) return WrongType(name, node, "a number");
    value = node.value<double>().value_or(std::numeric_limits<double>::quiet_NaN());
  }
  void ReadValue(const std::string& name, const toml::node& node, bool& value) {
    if (!node.is_boolean()) return WrongType(name, node, "a boolean");
    value = *node.value_exact<bool>();
  }
  void ReadValue(const std::string& name, const toml::node& node, Priority& value) {
    const auto text = node.value_exact<std::string>();
    if (!text) return WrongType(name, node, "a string");
    if (const auto priority = ParsePriority(*text)) {
      value = *priority;
      return;
    }
    m_faulty[name] = true;
    Add(node.source().begin, name + ": must be \"low\", \"normal\" or \"high\"");
  }
  void ReadValue(const std::string& name, const toml::node& node, std::vector<CallPattern>& value) {
    if (!node.is_array()) return WrongType(name, node, "an array of strings");
    for (const toml::node& entry : *node.as_array()) {
      const auto text = entry.value_exact<std::string>();
      if (!text) {
        WrongType(name, entry, "a string");
        continue;
      }
      if (const auto pattern = ParseCallPattern(*text)) {
        value.push_back(*pattern);
      } else {
        m_faulty[name] = true;
        Add(entry.source().begin, name + ": '" + *text + "' is not of the form 'METHOD /path'");
      }
    }
  }

  void ReportUnknownKeys() {
    for (const auto& [key, node] : m_table) {
      const std::string section(key.str());
      if (section == "name") continue;
      const auto known = m_sections.find(section);
      if (known == m_sections.end()) {
        Add(key.source().begin, section + ": unknown key");
      } else if (!node.is_table()) {
        WrongType(section, node, "a table");
      } else {
        for (const auto& [inner, value] : *node.as_table()) {
          const std::string name(inner.str());
          if (known->second.contains(name)) continue;
          std::string message(section);
          message.append(".").append(name).append(": unknown key");
          Add(inner.source().begin, message);
        }
      }
    }
  }

  void ReportFieldFault(const FieldFault& fault) {
    // A fault that follows from a value that could not be read would be misleading.
    const auto faulty = [this](const std::string& name) { return m_faulty.contains(name); };
    if (std::any_of(fault.fields.begin(), fault.fields.end(), faulty)) return;
    const auto position = m_positions.find(fault.fields.front());
    Add(position == m_positions.end() ? toml::source_position{1, 1} : position->second,
        fault.fields.front() + ": " + fault.message);
  }

  const toml::table& m_table;
  std::vector<DocumentFault> m_faults;
  std::map<std::string, toml::source_position> m_positions;
  std::map<std::string, bool> m_faulty;
  std::map<std::string, std::map<std::string, bool>> m_sections;
};

Profile Parse(std::string_view text, const std::string& source) {
  if (text.size() > kMaxDocumentBytes) {
    throw InvalidProfileDocument(source, {{1, 1, "the document exceeds 64 KiB"}});
  }
  toml::table table;
  try {
    table = toml::parse(text, source);
  } catch (const toml::parse_error& e) {
    const auto at = e.source().begin;
    throw InvalidProfileDocument(
        source, {{static_cast<std::uint32_t>(at.line), static_cast<std::uint32_t>(at.column),
                  std::string(e.description())}});
  }
  Reader reader(table);
  Profile profile = reader.Read();
  auto faults = reader.TakeFaults();
  if (!faults.empty()) throw InvalidProfileDocument(source, std::move(faults));
  return profile;
}

}  // namespace

ProfileDocument::ProfileDocument(std::string_view text, const std::string& source)
    : m_profile(Parse(text, source)) {}

ProfileDocument::ProfileDocument(Profile profile) : m_profile(std::move(profile)) {
  assert(CheckProfile(m_profile).empty());
}

std::string ProfileDocument::Text() const {
  std::string text = "name = \"" + m_profile.name.value() + "\"\n";
  std::string section;
  VisitFields(m_profile, [&](const Field& field, const auto& value) {
    if (section != field.section) {
      section = field.section;
      text += "\n[" + section + "]\n";
    }
    text += std::string(field.key) + " = " + internal::FieldText(value) + "\n";
  });
  return text;
}

}  // namespace cornelrelay::profile
