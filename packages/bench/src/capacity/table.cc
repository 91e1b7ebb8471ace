#include "capacity/table.h"

#include <algorithm>
#include <cassert>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <utility>

#include "capacity/line_fit.h"

namespace cornelrelay::bench {
namespace {

std::string Number(double value) {
  char text[40];
  std::snprintf(text, sizeof text, "%.6g", value);
  return text;
}

void PrintCell(std::ostream& out, const std::string& text, std::size_t width) {
  out << "  " << std::string(width > text.size() ? width - text.size() : 0, ' ') << text;
}

}  // namespace

Table::Table(std::string name, std::string title, std::vector<std::string> columns)
    : m_name(std::move(name)), m_title(std::move(title)), m_columns(std::move(columns)) {}

void Table::Add(std::vector<double> row) {
  assert(row.size() == m_columns.size());
  m_rows.push_back(std::move(row));
}

void Table::Fit(const std::string& x, const std::string& y, double target) {
  m_slopes.push_back({x, y, target});
}

std::vector<double> Table::Column(const std::string& name) const {
  const auto found = std::find(m_columns.begin(), m_columns.end(), name);
  assert(found != m_columns.end());
  const auto index = static_cast<std::size_t>(found - m_columns.begin());
  std::vector<double> values;
  for (const auto& row : m_rows) values.push_back(row[index]);
  return values;
}

void Table::Print(std::ostream& out) const {
  out << m_title << '\n';
  for (const std::string& column : m_columns) PrintCell(out, column, 10);
  out << '\n';
  for (const auto& row : m_rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      PrintCell(out, Number(row[i]), std::max<std::size_t>(10, m_columns[i].size()));
    }
    out << '\n';
  }
  PrintSlopes(out);
  out << '\n';
}

void Table::PrintSlopes(std::ostream& out) const {
  for (const Slope& slope : m_slopes) {
    const std::vector<double> xs = Column(slope.x);
    const LineFit fit = LineFit::Of(xs, Column(slope.y));
    const double largest = *std::max_element(xs.begin(), xs.end());
    out << "  " << slope.y << " over " << slope.x << ": slope " << Number(fit.slope)
        << ", intercept " << Number(fit.intercept) << ", R2 " << Number(fit.quality)
        << ", measured " << Number(*std::min_element(xs.begin(), xs.end())) << ".."
        << Number(largest) << ", at " << Number(slope.target) << " ("
        << Number(slope.target / largest) << " x the largest): " << Number(fit.At(slope.target))
        << '\n';
  }
}

void Table::WriteCsv(const std::string& directory) const {
  std::filesystem::create_directories(directory);
  std::ofstream rows(directory + "/" + m_name + ".csv");
  for (std::size_t i = 0; i < m_columns.size(); ++i) rows << (i ? "," : "") << m_columns[i];
  rows << '\n';
  for (const auto& row : m_rows) {
    for (std::size_t i = 0; i < row.size(); ++i) rows << (i ? "," : "") << Number(row[i]);
    rows << '\n';
  }
  if (m_slopes.empty()) return;
  std::ofstream slopes(directory + "/" + m_name + "-slopes.csv");
  slopes << "y,x,slope,intercept,r2,largest,target,at_target\n";
  for (const Slope& slope : m_slopes) {
    const std::vector<double> xs = Column(slope.x);
    const LineFit fit = LineFit::Of(xs, Column(slope.y));
    slopes << slope.y << ',' << slope.x << ',' << Number(fit.slope) << ',' << Number(fit.intercept)
           << ',' << Number(fit.quality) << ',' << Number(*std::max_element(xs.begin(), xs.end()))
           << ',' << Number(slope.target) << ',' << Number(fit.At(slope.target)) << '\n';
  }
}

}  // namespace cornelrelay::bench
