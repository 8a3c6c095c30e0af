#ifndef UTILITIES_OPERATOR_TOOL_TEXT_TABLE_H_
#define UTILITIES_OPERATOR_TOOL_TEXT_TABLE_H_

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushshore {

enum class text_colour { kNone, kRed, kGreen, kYellow };

// Returns `text` with every byte that is not printable ASCII replaced by '?',
// so that text from a note or a host cannot control the terminal. Thread safe.
std::string Printable(std::string_view text);

// Returns `text` with the codes that colour it on a terminal. Thread safe.
std::string Coloured(std::string_view text, text_colour colour);

// Aligns cells in columns. Not thread safe.
class text_table {
 public:
  explicit text_table(std::vector<std::string> header);

  // Adds a row whose first cell may have a colour. Precondition: as many cells
  // as the header has.
  void AddRow(std::vector<std::string> cells,
              text_colour colour = text_colour::kNone);

  // Writes the table, with colours if `is_coloured`.
  void Print(std::ostream& output, bool is_coloured) const;

 private:
  struct row {
    std::vector<std::string> cells;
    text_colour colour = text_colour::kNone;
  };

  std::vector<row> rows_;
};

}  // namespace bulrushshore

#endif  // UTILITIES_OPERATOR_TOOL_TEXT_TABLE_H_
