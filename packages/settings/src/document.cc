#include <fstream>
#include <sstream>

#include "cornelrelay/settings/invalid_settings.h"
#include "table_reader.h"

namespace cornelrelay::settings::internal {

void ReadDocument(std::string_view text, const std::string& file, const TableReader::Body& body) {
  FaultList faults(file);
  try {
    const toml::table table = toml::parse(text, file);
    TableReader root(table, "", faults);
    body(root);
    root.ReportUnknownKeys();
  } catch (const toml::parse_error& e) {
    faults.Add(e.source(), std::string(e.description()));
  }
  faults.ThrowIfAny();
}

std::string ReadSettingsFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  if (in) text << in.rdbuf();
  if (!in || !text) throw InvalidSettings({{file, 1, 1, "cannot read the file"}});
  return text.str();
}

}  // namespace cornelrelay::settings::internal
