#pragma once

#include <filesystem>
#include <ostream>
#include <string>
#include <vector>

namespace cornelrelay::policybench {

/// \brief A result table that prints as text and writes CSV and a bar chart.
///
/// \code
/// Table table("routing", {"shape", "policy", "p95 ms"});
/// table.Add({"morning-peak", "ours", Number(210.5)});
/// table.Print(std::cout);
/// table.WriteCsv(out);
/// table.WriteSvg(out, 2, {0, 1});
/// \endcode
class Table {
 public:
  Table(std::string name, std::vector<std::string> columns);

  void Add(std::vector<std::string> row);
  void Note(std::string note) { m_notes.push_back(std::move(note)); }

  void Print(std::ostream& out) const;
  void WriteCsv(const std::filesystem::path& directory) const;

  /// \brief Horizontal bars of column `value`, labelled with the columns `labels`.
  void WriteSvg(const std::filesystem::path& directory, std::size_t value,
                const std::vector<std::size_t>& labels) const;

 private:
  std::string m_name;
  std::vector<std::string> m_columns;
  std::vector<std::vector<std::string>> m_rows;
  std::vector<std::string> m_notes;
};

std::string Number(double value, int digits = 1);

}  // namespace cornelrelay::policybench
