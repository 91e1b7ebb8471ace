#include "cornelrelay/policybench/table.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <sstream>

namespace cornelrelay::policybench {

namespace {

constexpr int kRowHeight = 20;
constexpr int kLabelWidth = 260;
constexpr int kBarWidth = 500;

}  // namespace

std::string Number(double value, int digits) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(digits) << value;
  return out.str();
}

Table::Table(std::string name, std::vector<std::string> columns)
    : m_name(std::move(name)), m_columns(std::move(columns)) {}

void Table::Add(std::vector<std::string> row) { m_rows.push_back(std::move(row)); }

void Table::Print(std::ostream& out) const {
  std::vector<std::size_t> widths;
  for (std::size_t c = 0; c < m_columns.size(); ++c) {
    std::size_t width = m_columns[c].size();
    for (const auto& row : m_rows) width = std::max(width, row[c].size());
    widths.push_back(width);
  }
  const auto line = [&](const std::vector<std::string>& cells) {
    out << '|';
    for (std::size_t c = 0; c < cells.size(); ++c) {
      out << ' ' << std::setw(static_cast<int>(widths[c])) << (c < 2 ? std::left : std::right)
          << cells[c] << " |";
    }
    out << '\n';
  };
  out << m_name << "\n\n";
  line(m_columns);
  out << '|';
  for (const std::size_t width : widths) out << ' ' << std::string(width, '-') << " |";
  out << '\n';
  for (const auto& row : m_rows) line(row);
  for (const std::string& note : m_notes) out << '\n' << note << '\n';
  out << '\n';
}

void Table::WriteCsv(const std::filesystem::path& directory) const {
  std::ofstream out(directory / (m_name + ".csv"));
  const auto line = [&](const std::vector<std::string>& cells) {
    for (std::size_t c = 0; c < cells.size(); ++c) out << (c == 0 ? "" : ",") << cells[c];
    out << '\n';
  };
  line(m_columns);
  for (const auto& row : m_rows) line(row);
}

void Table::WriteSvg(const std::filesystem::path& directory, std::size_t value,
                     const std::vector<std::size_t>& labels) const {
  double most = 0;
  for (const auto& row : m_rows) most = std::max(most, std::strtod(row[value].c_str(), nullptr));
  const int height = kRowHeight * (static_cast<int>(m_rows.size()) + 2);
  std::ofstream out(directory / (m_name + ".svg"));
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kLabelWidth + kBarWidth + 100
      << "\" height=\"" << height
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n<text x=\"10\" y=\"15\">" << m_name
      << ": " << m_columns[value] << "</text>\n";
  int y = kRowHeight + 5;
  for (const auto& row : m_rows) {
    std::string label;
    for (const std::size_t c : labels) label += (label.empty() ? "" : ", ") + row[c];
    const double figure = std::strtod(row[value].c_str(), nullptr);
    const int width = most > 0 ? static_cast<int>(figure / most * kBarWidth) : 0;
    out << "<text x=\"10\" y=\"" << y + 13 << "\">" << label << "</text><rect x=\"" << kLabelWidth
        << "\" y=\"" << y << "\" width=\"" << std::max(width, 1) << "\" height=\"" << kRowHeight - 5
        << "\" fill=\"steelblue\"/><text x=\"" << kLabelWidth + std::max(width, 1) + 5 << "\" y=\""
        << y + 13 << "\">" << row[value] << "</text>\n";
    y += kRowHeight;
  }
  out << "</svg>\n";
}

}  // namespace cornelrelay::policybench
