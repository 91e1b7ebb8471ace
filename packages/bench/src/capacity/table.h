#pragma once

#include <cstddef>
#include <ostream>
#include <string>
#include <vector>

namespace cornelrelay::bench {

/// \brief Measured rows of one matter, with lines fitted through two of its columns.
///
/// \code
/// Table table("routing", "Routing", {"replicas", "heap_bytes"});
/// table.Add({16, 21000});
/// table.Fit("replicas", "heap_bytes", 940);
/// table.Print(std::cout);
/// table.WriteCsv("bench-out");
/// \endcode
class Table {
 public:
  /// \param name file name of the CSV without its extension
  Table(std::string name, std::string title, std::vector<std::string> columns);

  void Add(std::vector<double> row);

  /// \brief Fits `y` over `x` through all rows and extrapolates to `target`.
  void Fit(const std::string& x, const std::string& y, double target);

  void Print(std::ostream& out) const;

  /// \brief Writes `<name>.csv`, and `<name>-slopes.csv` when lines were fitted.
  void WriteCsv(const std::string& directory) const;

 private:
  struct Slope {
    std::string x;
    std::string y;
    double target;
  };

  std::vector<double> Column(const std::string& name) const;
  void PrintSlopes(std::ostream& out) const;

  std::string m_name;
  std::string m_title;
  std::vector<std::string> m_columns;
  std::vector<std::vector<double>> m_rows;
  std::vector<Slope> m_slopes;
};

}  // namespace cornelrelay::bench
